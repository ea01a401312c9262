#pragma once

#include <chrono>

namespace eelgrass {

/// A moment on the boot clock; decisions take it as an argument and never read a clock.
using Moment = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// The present moment; for use at the edge, where events come in. The clock also counts while the machine is suspended:
/// what a process knew before has aged by that time, and other machines have acted meanwhile.
[[nodiscard]] auto now() noexcept -> Moment;

} // namespace eelgrass
