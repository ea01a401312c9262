#include "serving/ReaderLink.h"

#include "base/Log.h"

namespace eelgrass::serving {

ReaderLink::Session::Session(kj::Own<wire::GlibStream> stream)
    : connection(kj::mv(stream))
    , peer(connection.bootstrap().castAs<wire::schema::EntryPeer>())
{
}

ReaderLink::ReaderLink(wire::MainLoop& loop, Duration interval, Hooks hooks)
    : loop_(loop)
    , interval_(interval)
    , hooks_(std::move(hooks))
{
}

auto ReaderLink::follow(const std::optional<Endpoint>& reader) -> void
{
    if (reader == reader_)
        return;
    log::info("zone reader changed", { { "peer", reader ? reader->str() : "" } });
    reader_ = reader;
    drop();
    queryTimer_ = {};
    if (!reader_)
        return;
    queryTimer_ = loop_.timers().every(interval_, [this] { ask(); });
    ask();
}

auto ReaderLink::askSoon() -> void
{
    constexpr auto intervalFraction = 4;
    earlyAskTimer_ = loop_.timers().after(interval_ / intervalFraction, [this] { ask(); });
}

auto ReaderLink::drop() -> void
{
    dropTimer_ = {};
    earlyAskTimer_ = {};
    pendingQuery_ = nullptr;
    session_.reset();
    queryPending_ = false;
}

auto ReaderLink::ask() -> void
{
    // The session of the query before has failed; if it were dropped while this one waits, there would be none to ask.
    if (dropTimer_.active())
        drop();
    const auto now = loop_.timers().now();
    if (queryPending_) {
        // A query without an answer shows that the connection is dead; the next query uses a new one.
        if (now - askedAt_ < 2 * interval_)
            return;
        log::warn("reader did not answer", { { "peer", reader_->str() } });
        drop();
    }
    queryPending_ = true;
    askedAt_ = now;
    pendingQuery_ = sendQuery().eagerlyEvaluate([this](kj::Exception&& error) {
        log::warn("reader not reached", { { "peer", reader_->str() }, { "reason", error.getDescription().cStr() } });
        queryPending_ = false;
        // The session is destroyed from the event loop, because this handler runs within the session's own promise.
        dropTimer_ = loop_.timers().after(Duration(0), [this] { session_.reset(); });
    });
}

auto ReaderLink::sendQuery() -> kj::Promise<void>
{
    return ensureConnected().then([this] {
        auto call = session_->peer.changesRequest();
        hooks_.fillQuery(call);
        return call.send().then([this, asked = askedAt_](auto&& answer) {
            queryPending_ = false;
            hooks_.onAnswer(answer, *reader_, asked);
        });
    });
}

auto ReaderLink::ensureConnected() -> kj::Promise<void>
{
    if (session_)
        return kj::READY_NOW;
    return wire::connectTo(reader_->address, reader_->port).then([this](kj::Own<wire::GlibStream>&& stream) {
        session_ = std::make_unique<Session>(kj::mv(stream));
    });
}

} // namespace eelgrass::serving
