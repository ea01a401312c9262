#pragma once

#include "base/TimerService.h"
#include "wire/HttpReader.h"
#include "wire/TcpConnection.h"

#include <kj/async.h>

#include <deque>
#include <memory>
#include <string>

namespace eelgrass::wire {

/// A whole answer to a call of this process's own.
struct HttpAnswer {
    int status = 0;
    HeaderFields fields;
    std::string body;
    /// The clock before the first byte of the call was written, and after the answer was whole. Whoever asks reads the
    /// clock only after the call may have been written, and may have been suspended in between.
    Moment askedAt {};
    Moment receivedAt {};
};

/// One call, sent as it stands.
struct HttpCall {
    std::string method = "GET";
    std::string target;
    HeaderFields fields;
    std::string body;
    /// The call fails after this long without a whole answer.
    Duration timeout = 1s;
    /// The call fails when the body of its answer is longer.
    std::size_t maxAnswerBytes = std::size_t(1) << 20U;
};

/// Calls to one peer over one kept connection, in order, none of them ever sent twice.
///
/// A call that fails closes the connection, so that a late answer can never be taken for the next one's.
///
/// ```cpp
/// caller.call({ .target = "/report", .timeout = 300ms }).then([](HttpAnswer answer) { ... });
/// ```
class HttpCaller {
public:
    HttpCaller(TimerService& timers, std::string address, std::uint16_t port);
    ~HttpCaller();
    KJ_DISALLOW_COPY(HttpCaller);

    /// Rejects when the peer cannot be reached, breaks off, sends what is no answer or too long a one, or takes too
    /// long; the last with the type `OVERLOADED`, the others with `DISCONNECTED`.
    [[nodiscard]] auto call(HttpCall call) -> kj::Promise<HttpAnswer>;

private:
    struct Pending {
        HttpCall call;
        kj::Own<kj::PromiseFulfiller<HttpAnswer>> fulfiller;
    };
    auto pump() -> void;
    auto received() -> void;
    auto ended(StreamEnd how) -> void;
    auto fail(const std::string& reason, kj::Exception::Type type = kj::Exception::Type::DISCONNECTED) -> void;
    auto succeed() -> void;

    TimerService& timers_;
    std::string address_;
    std::uint16_t port_;
    std::unique_ptr<TcpConnection> connection_;
    std::unique_ptr<ResponseReader> reader_;
    std::string body_;
    Moment askedAt_ {};
    std::deque<Pending> waiting_;
    bool busy_ = false;
    Timer deadline_;
};

} // namespace eelgrass::wire
