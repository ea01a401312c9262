#pragma once

#include "base/Endpoint.h"
#include "wire/Door.h"
#include "wire/MainLoop.h"
#include "wire/generated/Agent.capnp.h"

#include <functional>
#include <memory>
#include <optional>

namespace eelgrass::serving {

/// Session with the entry that reads the store for this entry's zone. Asks it for changes at an interval.
///
/// If the reader does not answer, the data gets old and this entry reads the store itself.
class ReaderLink {
public:
    using Query = wire::schema::EntryPeer::ChangesParams::Builder;
    using Answer = wire::schema::EntryPeer::ChangesResults::Reader;
    struct Hooks {
        /// Sets in the query which versions this entry already has.
        std::function<void(Query)> fillQuery;
        /// `asked` is when the query was sent; the data in the answer may be that old.
        std::function<void(Answer, const Endpoint& reader, Moment asked)> onAnswer;
    };

    ReaderLink(wire::MainLoop& loop, Duration interval, Hooks hooks);
    KJ_DISALLOW_COPY(ReaderLink);

    /// Sets the reader to ask; empty for none.
    auto follow(const std::optional<Endpoint>& reader) -> void;
    /// Asks the reader again before the interval ends. Used when its data is old because it has just become the reader.
    auto askSoon() -> void;
    [[nodiscard]] auto reader() const noexcept -> const std::optional<Endpoint>& { return reader_; }

private:
    struct Session {
        explicit Session(kj::Own<wire::GlibStream> stream);
        wire::Connection connection;
        /// Bootstrapped when the connection is made, since bootstrapping fails once the peer has closed the connection.
        wire::schema::EntryPeer::Client peer;
    };
    auto ask() -> void;
    auto sendQuery() -> kj::Promise<void>;
    auto ensureConnected() -> kj::Promise<void>;
    auto drop() -> void;

    wire::MainLoop& loop_;
    Duration interval_;
    Hooks hooks_;
    std::optional<Endpoint> reader_;
    std::unique_ptr<Session> session_;
    kj::Maybe<kj::Promise<void>> pendingQuery_;
    bool queryPending_ = false;
    Moment askedAt_ {};
    Timer queryTimer_;
    Timer earlyAskTimer_;
    /// Drops a failed session from the event loop.
    Timer dropTimer_;
};

} // namespace eelgrass::serving
