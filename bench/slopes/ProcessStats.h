#pragma once

#include <cstdint>

namespace eelgrass::bench {

/// Processor time of all threads of a process, in microseconds.
[[nodiscard]] auto processorMicros(int pid) -> double;
/// Processor time of the calling thread, in microseconds.
[[nodiscard]] auto ownThreadMicros() -> double;
/// Proportional set size, in KiB: shared pages count by share.
[[nodiscard]] auto pssKiB(int pid) -> double;
/// The highest resident set so far, in KiB.
[[nodiscard]] auto peakKiB(int pid) -> double;

} // namespace eelgrass::bench
