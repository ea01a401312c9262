#pragma once

/// Forward declarations of the serving package.
namespace eelgrass::serving {

class AgentLink;
class AgentRole;
class CallerConnection;
class CallerExchange;
class ConfigurationFollower;
class CountingAgents;
class GatewayRole;
class KeptRateLimits;
class RateLimits;
class Replica;
class ReplicaAgent;
class ReplicaAvailability;
class ReplicaConnection;
class ReplicaDirectory;
class RequestRun;
class RetryBudgets;
class UnknownFields;
struct GatewayContext;

} // namespace eelgrass::serving
