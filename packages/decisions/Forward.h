#pragma once

/// Forward declarations of the decisions package.
namespace eelgrass::decisions {

class AdapterSlots;
class Placer;
class PollSchedule;
class ReportGate;
struct TargetView;

} // namespace eelgrass::decisions
