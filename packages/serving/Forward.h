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
class ReplicaConnection;
class ReplicaDirectory;
class RequestRun;
struct GatewayContext;

} // namespace eelgrass::serving
