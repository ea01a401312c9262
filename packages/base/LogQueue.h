#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace eelgrass::log {

/// How much a process may log.
struct LogLimits {
    /// Ordinary lines a second: at ten times the usual load of a host, three lines for each request.
    std::uint32_t linesPerSecond = 2000;
    /// Bytes that wait for a slow reader; a fifth more is kept for warnings and errors.
    std::size_t waitingBytes = std::size_t(256) << 10U;
};

/// Lines on their way out: bounded in number and in memory, and never waiting for their reader.
///
/// Load made for: a burst, and a reader of standard output that has stopped. Harm prevented: requests that wait for a
/// log line, and memory that grows with them. Ordinary lines are left out first; how many were is told in a line of its
/// own.
class LogQueue {
public:
    /// Takes as many bytes as it can at once, and says how many.
    using Sink = std::function<std::size_t(std::string_view)>;

    explicit LogQueue(Sink sink, LogLimits limits = {})
        : sink_(std::move(sink))
        , limits_(limits)
    {
    }

    /// `important` lines, warnings and errors, do not count towards the rate.
    auto add(std::string line, bool important, Moment now) -> void;
    /// Hands on what the sink takes.
    auto flush() -> void;
    /// Whether no line waits for the reader.
    [[nodiscard]] auto empty() const noexcept -> bool { return lines_.empty(); }
    [[nodiscard]] auto leftOut() const noexcept -> std::uint64_t { return leftOut_; }

private:
    [[nodiscard]] auto admits(std::size_t size, bool important, Moment now) -> bool;

    Sink sink_;
    LogLimits limits_;
    std::deque<std::string> lines_;
    std::size_t waiting_ = 0;
    std::size_t sentOfFirst_ = 0;
    std::uint64_t leftOut_ = 0;
    std::uint64_t untold_ = 0;
    std::uint32_t inSecond_ = 0;
    Moment secondBegan_ {};
};

} // namespace eelgrass::log
