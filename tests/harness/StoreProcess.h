#pragma once

#include "base/Endpoint.h"
#include "tests/harness/CoreLimit.h"
#include "tests/harness/Process.h"
#include "wire/HttpCaller.h"
#include "wire/MainLoop.h"

#include <chrono>
#include <functional>
#include <string>

namespace eelgrass::tests {

/// The platform's store in a process of its own, which can be stopped and continued.
class StoreProcess {
public:
    /// On the first `cores` processor cores; 0 for all.
    explicit StoreProcess(wire::MainLoop& loop, std::size_t cores = 0);

    [[nodiscard]] auto endpoint() const -> Endpoint { return { "127.0.0.1", port_ }; }
    auto process() noexcept -> Process& { return process_; }
    /// Changes a row; `onAcknowledged` is told when the store has answered.
    auto put(const std::string& table, const std::string& key, const std::string& value,
        std::function<void(Moment)> onAcknowledged = {}) -> void;
    /// Changes a row and waits for the answer.
    auto putNow(const std::string& table, const std::string& key, const std::string& value) -> Moment;
    auto refuseWith(int status) -> void { tell("/standin/refuse?status=" + std::to_string(status)); }
    auto forgetHistory() -> void { tell("/standin/forget"); }
    auto loseNextWrite() -> void { tell("/standin/lose-write"); }
    auto shiftClock(std::chrono::milliseconds shift) -> void;
    auto answerAfter(std::chrono::milliseconds delay) -> void;
    /// Suspends a process right after it has written each of its next long polls.
    auto suspendAsker(int pid, std::chrono::milliseconds time, int polls) -> void;
    /// Waits until all that was asked of the store has been done.
    auto settle() -> void;

private:
    auto call(const std::string& target, std::string body = {}) -> kj::Promise<wire::HttpAnswer>;
    auto tell(const std::string& target) -> void;

    wire::MainLoop& loop_;
    CoreLimit cores_;
    Process process_;
    std::uint16_t port_;
    wire::HttpCaller calls_;
};

} // namespace eelgrass::tests
