#include "wire/HttpCaller.h"

#include <kj/debug.h>

namespace eelgrass::wire {

HttpCaller::HttpCaller(TimerService& timers, std::string address, std::uint16_t port)
    : timers_(timers)
    , address_(std::move(address))
    , port_(port)
{
}

HttpCaller::~HttpCaller() = default;

auto HttpCaller::call(HttpCall call) -> kj::Promise<HttpAnswer>
{
    auto pair = kj::newPromiseAndFulfiller<HttpAnswer>();
    waiting_.push_back({ std::move(call), kj::mv(pair.fulfiller) });
    pump();
    return kj::mv(pair.promise);
}

auto HttpCaller::pump() -> void
{
    while (!busy_ && !waiting_.empty() && !waiting_.front().fulfiller->isWaiting())
        waiting_.pop_front();
    if (busy_ || waiting_.empty())
        return;
    busy_ = true;
    askedAt_ = timers_.now();
    const auto& call = waiting_.front().call;
    deadline_ = timers_.after(call.timeout, [this] { fail("no answer in time", kj::Exception::Type::OVERLOADED); });
    reader_ = std::make_unique<ResponseReader>(call.method == "HEAD");
    body_.clear();
    if (!connection_ || connection_->over()) {
        connection_ = TcpConnection::connect(
            address_, port_, { .onData = [this] { received(); }, .onEnd = [this](StreamEnd how) { ended(how); } });
        if (!connection_)
            return fail("no connection");
    }
    auto fields = call.fields;
    if (fields.count("Host") == 0)
        fields.add("Host", address_ + ":" + std::to_string(port_));
    auto text = requestHeadText(call.method, call.target, fields, call.body.size());
    connection_->write(text.append(call.body));
}

auto HttpCaller::received() -> void
{
    if (!busy_) {
        // Nothing was asked: whatever came belongs to no call of ours.
        connection_.reset();
        return;
    }
    if (reader_->feed(connection_->input(), body_) != HttpFault::None)
        return fail("not an answer");
    if (body_.size() > waiting_.front().call.maxAnswerBytes)
        return fail("the answer is too long");
    if (connection_->over())
        reader_->finish();
    if (reader_->complete())
        return succeed();
    if (connection_->over())
        fail("the connection ended before the answer did");
}

auto HttpCaller::ended(StreamEnd how) -> void
{
    // An idle connection went; the next call makes another.
    if (!busy_)
        connection_.reset();
    else if (how == StreamEnd::Finished)
        received();
    else
        fail("the connection broke");
}

auto HttpCaller::succeed() -> void
{
    auto pending = std::move(waiting_.front());
    waiting_.pop_front();
    busy_ = false;
    deadline_.cancel();
    if (!reader_->keepAlive() || connection_->over() || !connection_->input().empty())
        connection_.reset();
    pending.fulfiller->fulfill({ .status = reader_->head().status,
        .fields = reader_->head().fields,
        .body = std::move(body_),
        .askedAt = askedAt_,
        .receivedAt = timers_.now() });
    pump();
}

auto HttpCaller::fail(const std::string& reason, kj::Exception::Type type) -> void
{
    auto pending = std::move(waiting_.front());
    waiting_.pop_front();
    busy_ = false;
    deadline_.cancel();
    if (connection_)
        connection_->reset();
    connection_.reset();
    pending.fulfiller->reject(kj::Exception(type, __FILE__, __LINE__,
        kj::str(reason.c_str(), "; ", pending.call.target.c_str(), "; ", address_.c_str(), ":", port_)));
    pump();
}

} // namespace eelgrass::wire
