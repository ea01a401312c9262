#pragma once

/// Forward declarations of the decisions package.
namespace eelgrass::decisions {

class AdapterSlots;
class AnnouncedRateLimit;
class ArrivalPermits;
class CircuitBreaker;
class EarnedRetries;
class Fleet;
class RecentAdapters;
class LimitedArrivals;
class LoadConcurrency;
class LoadQueue;
class PermitSlots;
class Placer;
class PollSchedule;
class PrefillRate;
class ReportThrottle;
class RequestQueue;
class RequestedRest;
class RetryBudget;
class ReturnTimes;
class SharedReading;
struct ReplicaLoad;
struct TargetView;
struct PublishPolicy;

} // namespace eelgrass::decisions
