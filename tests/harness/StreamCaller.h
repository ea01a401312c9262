#pragma once

#include "wire/HttpCaller.h"
#include "wire/TcpConnection.h"

#include <kj/async.h>

#include <memory>
#include <string>

namespace eelgrass::tests {

/// What a client has received of an answer, whole or broken off.
struct ReceivedAnswer {
    /// 0 if the connection ended before the head of the answer.
    int status = 0;
    wire::HeaderFields fields;
    std::string body;
    bool whole = false;
};

/// A client of one call that keeps what it has received when its answer breaks off.
class StreamCaller {
public:
    StreamCaller(TimerService& timers, std::uint16_t port, std::string address = "127.0.0.1");

    /// Never rejects. The client closes its connection once it has received `leaveAfter`, if that is not empty.
    [[nodiscard]] auto call(const wire::HttpCall& call, std::string leaveAfter = {}) -> kj::Promise<ReceivedAnswer>;

private:
    auto received() -> void;
    auto finish(bool whole) -> void;

    TimerService& timers_;
    std::uint16_t port_;
    std::string address_;
    std::unique_ptr<wire::TcpConnection> connection_;
    wire::ResponseReader reader_ { false };
    std::string body_;
    std::string leaveAfter_;
    kj::Own<kj::PromiseFulfiller<ReceivedAnswer>> fulfiller_;
    Timer deadline_;
};

} // namespace eelgrass::tests
