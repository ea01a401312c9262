#pragma once

#include "tests/harness/CrashWorld.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// Requests with one part in their prompts that crash each replica that begins to write an answer on it, no two of them
/// alike, and sound requests beside each. They come at every gateway in turn.
///
/// Its judge is the users' rule: of the requests with the part at most three reach replicas later than three seconds
/// after its fifth crash, and from six seconds after it on sound ones are served at least half of the time. That none
/// of them is refused for the crashes is checked too.
class PartCrashes {
public:
    static constexpr auto part = "dead";
    static constexpr auto crashesBefore = std::size_t(5);
    static constexpr auto maxLateSends = std::size_t(3);

    struct Options {
        CrashWorld::Options world { .crash = { .part = part } };
        Duration interval { 150ms };
        std::size_t soundEach = 1;
        std::uint64_t deadlineMs = 4000;
        /// The shared parts of the prompts, each with the number of its request.
        std::function<std::string(std::size_t)> crashingPrompt
            = [](std::size_t number) { return "c0:30,dead:20,e" + std::to_string(number % 7) + ":10"; };
        std::function<std::string(std::size_t)> soundPrompt
            = [](std::size_t number) { return "c0:30,e" + std::to_string(number % 7) + ":20"; };
        std::function<std::string(std::size_t)> adapter = [](std::size_t) { return "a1"; };
        /// Of the crashing requests; as above if empty.
        std::string crashingAdapter {};
        /// Every crashing request has the same body and prompt; sound ones share its parts.
        bool sameRequest = false;
        /// Time between two events of a sound stream, which has five.
        Duration eventGap { 60ms };
    };

    explicit PartCrashes(Options options);

    /// Sends until the fifth crash, and on until the judge has seen enough; checks the rule.
    auto judge() -> void;
    /// Sends one crashing request and its sound ones.
    auto sendOne() -> void;
    /// The same at the interval, for so long.
    auto sendFor(Duration time) -> void;
    [[nodiscard]] auto lateSends() -> std::size_t;
    auto crashing() noexcept -> CrashWorld& { return world_; }

private:
    struct Sound {
        std::string attempt;
        Moment sentAt {};
        int status = -1;
    };
    auto send(std::size_t gateway, bool sound, std::string prompt) -> void;
    auto checkSound(Moment from) -> void;

    Options options_;
    CrashWorld world_;
    std::vector<Sound> sound_;
    std::vector<kj::Promise<void>> pending_;
    std::size_t sent_ = 0;
};

} // namespace eelgrass::tests
