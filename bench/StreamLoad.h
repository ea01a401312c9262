#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace eelgrass::bench {

/// One HTTP/1.1 request as bytes; called anew for each request, so that ids differ.
using MakeRequest = std::function<std::string()>;

/// What a run of streamed calls brought.
struct LoadResult {
    std::uint64_t answers = 0;
    std::uint64_t failed = 0;
    /// Tokens of whole answers.
    std::uint64_t tokens = 0;
    Duration elapsed {};
    std::string firstFailure;

    [[nodiscard]] auto tokensPerSecond() const noexcept -> double;
    [[nodiscard]] auto answersPerSecond() const noexcept -> double;
};

/// Where a run connects, and how often.
struct LoadPlace {
    std::uint16_t port = 0;
    std::size_t connections = 0;
    MakeRequest request;
    /// Tokens in each answer. Events are not counted: one may carry several tokens.
    std::uint64_t tokens = 0;
};

/// Keeps every connection busy with streamed calls for `time`, by epoll on this thread; each connection sends its next
/// request when its answer is whole.
///
/// ```cpp
/// auto result = runLoad({ { port, 64, request } }, 5s);
/// ```
[[nodiscard]] auto runLoad(const std::vector<LoadPlace>& places, Duration time) -> LoadResult;

/// A connection that sends one streamed call at a time and times its first token.
class TimedCaller {
public:
    explicit TimedCaller(std::uint16_t port);
    ~TimedCaller();
    TimedCaller(const TimedCaller&) = delete;
    auto operator=(const TimedCaller&) -> TimedCaller& = delete;

    /// Time from sending to the first event with a token; reads the answer to its end.
    [[nodiscard]] auto firstToken(const std::string& request) -> Duration;

private:
    int fd_;
};

} // namespace eelgrass::bench
