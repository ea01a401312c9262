#include "serving/ReplicaLeg.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// Connecting within a region takes a few milliseconds. A lost SYN is repeated only after a second, by which time
// another replica would have answered.
constexpr auto connectTimeout = Duration(400ms);
// Longest idle time of a connection that is reused for a request that must not be sent again. Such a request is lost if
// the replica is just closing the connection.
constexpr auto maxIdleForNonRepeatable = Duration(500ms);
// Idle timeout that is assumed if the replica sends no Keep-Alive timeout.
constexpr auto defaultIdleTimeout = std::chrono::seconds(4);
// Bytes that may come beside an answer's body: heads, interim answers, answers to other requests, chunk framing.
constexpr auto maxOverhead = std::size_t(256) << 10U;
// More of them for each byte of the body; a chunk of one byte has five.
constexpr auto maxOverheadPerByte = std::size_t(8);

} // namespace

auto toString(ReplicaFault fault) noexcept -> std::string_view
{
    switch (fault) {
    case ReplicaFault::NotSent:
        return "not_sent";
    case ReplicaFault::Withheld:
        return "withheld";
    case ReplicaFault::Broken:
        return "broken";
    case ReplicaFault::BadBytes:
        break;
    }
    return "bad_bytes";
}

ReplicaConnection::ReplicaConnection(TimerService& timers, const Endpoint& endpoint)
    : timers_(timers)
{
    connection_ = wire::TcpConnection::connect(endpoint.address, endpoint.port,
        { .onData = [this] { received(); },
            .onEnd = [this](wire::StreamEnd how) { ended(how); },
            .onConnected = [this] { connected(); } });
}

auto ReplicaConnection::send(std::string_view head, std::string_view body, IsOwnAnswer isOwnAnswer, Handlers handlers)
    -> void
{
    isOwnAnswer_ = std::move(isOwnAnswer);
    handlers_ = std::make_shared<const Handlers>(std::move(handlers));
    busy_ = true;
    reusable_ = false;
    headReported_ = false;
    skippingAnswer_ = false;
    passedOn_ = 0;
    overhead_ = 0;
    reader_ = std::make_unique<wire::ResponseReader>();
    auto bytes = std::string();
    bytes.reserve(head.size() + body.size());
    bytes.append(head).append(body);
    unsent_ = std::move(bytes);
    if (connection_->connected())
        return connected();
    connectTimer_ = timers_.after(connectTimeout, [this] { fail(ReplicaFault::NotSent); });
}

auto ReplicaConnection::connected() -> void
{
    connectTimer_.cancel();
    if (!busy_)
        return;
    if (handlers_->mayWrite && !handlers_->mayWrite())
        return fail(ReplicaFault::Withheld);
    connection_->write(std::exchange(unsent_, {}));
}

auto ReplicaConnection::abort() -> void
{
    busy_ = false;
    reusable_ = false;
    connectTimer_.cancel();
    handlers_.reset();
    if (connection_)
        connection_->reset();
}

auto ReplicaConnection::received() -> void
{
    const auto alive = alive_;
    const auto handlers = handlers_;
    if (!busy_) {
        // Bytes arrived without a pending request, so the connection cannot be reused. More may follow without end.
        reusable_ = false;
        connection_->reset();
        if (const auto callback = onIdleEnd_)
            callback();
        return;
    }
    while (*alive && busy_) {
        const auto waiting = connection_->input().size();
        const auto fault = reader_->feed(connection_->input(), pendingBody_);
        overhead_ += waiting - connection_->input().size();
        if (fault != wire::HttpFault::None)
            return fail(ReplicaFault::BadBytes);
        if (reader_->headComplete() && !headReported_ && !readHead()) {
            if (*alive && busy_ && tooMuchOverhead())
                return fail(ReplicaFault::BadBytes);
            continue;
        }
        if (!*alive || !busy_)
            return;
        auto piece = std::exchange(pendingBody_, {});
        if (!piece.empty() && !skippingAnswer_) {
            overhead_ -= piece.size();
            passedOn_ += piece.size();
            handlers->onBody(piece);
        }
        if (!*alive || !busy_)
            return;
        if (tooMuchOverhead())
            return fail(ReplicaFault::BadBytes);
        if (!reader_->complete())
            return;
        if (skippingAnswer_) {
            reader_ = std::make_unique<wire::ResponseReader>();
            skippingAnswer_ = false;
            headReported_ = false;
            continue;
        }
        return finish();
    }
}

auto ReplicaConnection::tooMuchOverhead() const noexcept -> bool
{
    return overhead_ > maxOverhead + maxOverheadPerByte * passedOn_;
}

/// Handles a complete head. Returns false if it belongs to an interim answer or if this connection was destroyed.
auto ReplicaConnection::readHead() -> bool
{
    constexpr auto firstFinalStatus = 200;
    const auto alive = alive_;
    const auto handlers = handlers_;
    const auto& head = reader_->head();
    if (head.status < firstFinalStatus) {
        // An interim answer; the final one follows.
        reader_ = std::make_unique<wire::ResponseReader>();
        pendingBody_.clear();
        return false;
    }
    headReported_ = true;
    skippingAnswer_ = !isOwnAnswer_(head);
    sawForeignAnswer_ = sawForeignAnswer_ || skippingAnswer_;
    const auto keep = head.fields.get("Keep-Alive");
    const auto at = keep.find("timeout=");
    if (at != std::string_view::npos) {
        auto digits = keep.substr(at + std::string_view("timeout=").size());
        digits = digits.substr(0, digits.find_first_not_of("0123456789"));
        if (const auto seconds = wire::decimal(digits))
            idleTimeout_ = std::chrono::seconds(*seconds);
    }
    if (!skippingAnswer_)
        handlers->onHead(head);
    return *alive;
}

auto ReplicaConnection::finish() -> void
{
    busy_ = false;
    // Bytes after the answer belong to no request. If the answer arrived before the request was sent completely, the
    // replica would read the rest of the request as another one.
    reusable_ = reader_->keepAlive() && connection_->input().empty() && connection_->backlog() == 0
        && !connection_->over() && !sawForeignAnswer_;
    const auto handlers = std::exchange(handlers_, nullptr);
    handlers->onDone();
}

auto ReplicaConnection::ended(wire::StreamEnd how) -> void
{
    connectTimer_.cancel();
    const auto alive = alive_;
    if (!busy_) {
        reusable_ = false;
        if (const auto callback = onIdleEnd_)
            callback();
        return;
    }
    if (how == wire::StreamEnd::Finished) {
        received();
        if (!*alive || !busy_)
            return;
        reader_->finish();
        if (reader_->complete() && headReported_ && !skippingAnswer_) {
            answerEndedWithConnection_ = true;
            return finish();
        }
    }
    fail(connection_->connected() ? ReplicaFault::Broken : ReplicaFault::NotSent);
}

auto ReplicaConnection::fail(ReplicaFault fault) -> void
{
    connectTimer_.cancel();
    busy_ = false;
    reusable_ = false;
    connection_->reset();
    const auto handlers = std::exchange(handlers_, nullptr);
    handlers->onFault(fault);
}

auto ConnectionPool::take(bool nonRepeatable) -> std::shared_ptr<ReplicaConnection>
{
    const auto now = timers_.now();
    while (!idle_.empty()) {
        auto newest = std::move(idle_.back());
        idle_.pop_back();
        // Half of the replica's timeout, since the replica started counting earlier.
        const auto kept = Duration(newest.connection->idleTimeout().value_or(defaultIdleTimeout)) / 2;
        const auto age = now - newest.since;
        if (age > kept || !newest.connection->usable())
            continue;
        // The replica's close may have come without having been read, and a request must not be written after it.
        newest.connection->readWaiting();
        if (!newest.connection->usable() || !newest.connection->reusable())
            continue;
        if (nonRepeatable && age > maxIdleForNonRepeatable) {
            idle_.push_back(std::move(newest));
            break;
        }
        newest.connection->onIdleEnd({});
        return std::move(newest.connection);
    }
    return std::make_shared<ReplicaConnection>(timers_, endpoint_);
}

auto ConnectionPool::giveBack(std::shared_ptr<ReplicaConnection> connection) -> void
{
    if (!connection->reusable() || idle_.size() >= maxIdle_)
        return;
    auto* raw = connection.get();
    connection->onIdleEnd(
        [this, raw] { std::erase_if(idle_, [&](const Idle& idle) { return idle.connection.get() == raw; }); });
    idle_.push_back({ std::move(connection), timers_.now() });
}

} // namespace eelgrass::serving
