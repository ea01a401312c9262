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
    log::info("reader of the zone", { { "peer", reader ? reader->str() : "" } });
    reader_ = reader;
    drop();
    timer_ = {};
    if (!reader_)
        return;
    timer_ = loop_.timers().every(interval_, [this] { ask(); });
    ask();
}

auto ReaderLink::askSoon() -> void
{
    constexpr auto share = 4;
    earlyAskTimer_ = loop_.timers().after(interval_ / share, [this] { ask(); });
}

auto ReaderLink::drop() -> void
{
    broken_ = {};
    earlyAskTimer_ = {};
    work_ = nullptr;
    session_.reset();
    asking_ = false;
}

auto ReaderLink::ask() -> void
{
    const auto now = loop_.timers().now();
    if (asking_) {
        // A connection that has gone silent is found by its question, and the next one is asked on another.
        if (now - askedAt_ < 2 * interval_)
            return;
        log::warn("reader silent", { { "peer", reader_->str() } });
        drop();
    }
    asking_ = true;
    askedAt_ = now;
    work_ = question().eagerlyEvaluate([this](kj::Exception&& error) {
        log::warn("reader not reached", { { "peer", reader_->str() }, { "reason", error.getDescription().cStr() } });
        asking_ = false;
        // From the loop: this runs within the session's own promise.
        broken_ = loop_.timers().after(Duration(0), [this] { session_.reset(); });
    });
}

auto ReaderLink::question() -> kj::Promise<void>
{
    return connected().then([this] {
        auto call = session_->peer.changesRequest();
        hooks_.ask(call);
        return call.send().then([this](auto&& answer) {
            asking_ = false;
            hooks_.learn(answer, *reader_, askedAt_);
        });
    });
}

auto ReaderLink::connected() -> kj::Promise<void>
{
    if (session_)
        return kj::READY_NOW;
    return wire::connectTo(reader_->address, reader_->port).then([this](kj::Own<wire::GlibStream>&& stream) {
        session_ = std::make_unique<Session>(kj::mv(stream));
    });
}

} // namespace eelgrass::serving
