#include "tests/harness/StreamCaller.h"

namespace eelgrass::tests {

StreamCaller::StreamCaller(TimerService& timers, std::uint16_t port, std::string address)
    : timers_(timers)
    , port_(port)
    , address_(std::move(address))
{
}

auto StreamCaller::call(const wire::HttpCall& call, std::string leaveAfter) -> kj::Promise<ReceivedAnswer>
{
    leaveAfter_ = std::move(leaveAfter);
    auto pair = kj::newPromiseAndFulfiller<ReceivedAnswer>();
    fulfiller_ = kj::mv(pair.fulfiller);
    deadline_ = timers_.after(call.timeout, [this] { finish(false); });
    connection_ = wire::TcpConnection::connect(address_, port_,
        { .onData = [this] { received(); },
            .onEnd =
                [this](wire::StreamEnd) {
                    received();
                    finish(false);
                } });
    if (!connection_) {
        finish(false);
        return kj::mv(pair.promise);
    }
    auto text = wire::requestHeadText(call.method, call.target, call.fields, call.body.size());
    connection_->write(text.append(call.body));
    return kj::mv(pair.promise);
}

auto StreamCaller::received() -> void
{
    if (!fulfiller_->isWaiting())
        return;
    if (reader_.feed(connection_->input(), body_) != wire::HttpFault::None)
        return finish(false);
    if (reader_.complete())
        finish(true);
    else if (!leaveAfter_.empty() && body_.find(leaveAfter_) != std::string::npos)
        finish(false);
}

auto StreamCaller::finish(bool whole) -> void
{
    if (!fulfiller_->isWaiting())
        return;
    deadline_.cancel();
    const auto head = reader_.headComplete() ? reader_.head() : wire::HttpResponseHead();
    fulfiller_->fulfill({ head.status, head.fields, std::move(body_), whole });
    if (connection_)
        connection_->reset();
}

} // namespace eelgrass::tests
