#pragma once

/// Forward declarations of the targets package.
namespace eelgrass::targets {

class EngineClient;
class CompletionStream;
class ServiceClient;
struct EngineState;

} // namespace eelgrass::targets
