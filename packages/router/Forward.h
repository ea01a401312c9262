#pragma once

/// Forward declarations of the router package.
namespace eelgrass::router {

class Attempt;
class AttemptOutput;
class AttemptsController;
class Configuration;
class ConfigController;
class EntryRole;
class FenceController;
class Metrics;
class SlotsController;
class TargetRole;
class TargetsController;
struct Call;
struct EntrySettings;
struct TargetSettings;

} // namespace eelgrass::router
