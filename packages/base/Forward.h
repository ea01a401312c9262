#pragma once

#include <string>

/// Forward declarations of the base package.
namespace eelgrass {

class Error;
class TimerService;
class Timer;
template <typename Tag> class StrongId;
template <typename Tag, typename Representation> class StrongNumber;

} // namespace eelgrass
