#pragma once

#include "base/Endpoint.h"
#include "wire/Door.h"
#include "wire/MainLoop.h"
#include "wire/generated/Agent.capnp.h"

#include <functional>
#include <memory>
#include <optional>

namespace eelgrass::serving {

/// The session with the entry that reads the store for this one's zone: asks it at an interval for what is new.
///
/// A reader that does not answer is simply not heard; what is known gets old, and the entry reads for itself.
class ReaderLink {
public:
    using Question = wire::schema::EntryPeer::ChangesParams::Builder;
    using Answer = wire::schema::EntryPeer::ChangesResults::Reader;
    struct Hooks {
        /// Fills in what is known already.
        std::function<void(Question)> ask;
        /// `asked` is when the question left: what the answer says is that old at least.
        std::function<void(Answer, const Endpoint& reader, Moment asked)> learn;
    };

    ReaderLink(wire::MainLoop& loop, Duration interval, Hooks hooks);
    KJ_DISALLOW_COPY(ReaderLink);

    /// Whom to ask; empty for nobody.
    auto follow(const std::optional<Endpoint>& reader) -> void;
    /// Asks again before the interval ends, for a reader whose data is old because it has only just become the reader.
    auto askSoon() -> void;
    [[nodiscard]] auto reader() const noexcept -> const std::optional<Endpoint>& { return reader_; }

private:
    struct Session {
        explicit Session(kj::Own<wire::GlibStream> stream);
        wire::Connection connection;
        /// Asked for at once: on a connection that its peer has closed meanwhile it could not be.
        wire::schema::EntryPeer::Client peer;
    };
    auto ask() -> void;
    auto question() -> kj::Promise<void>;
    auto connected() -> kj::Promise<void>;
    auto drop() -> void;

    wire::MainLoop& loop_;
    Duration interval_;
    Hooks hooks_;
    std::optional<Endpoint> reader_;
    std::unique_ptr<Session> session_;
    kj::Maybe<kj::Promise<void>> work_;
    bool asking_ = false;
    Moment askedAt_ {};
    Timer timer_;
    Timer earlyAskTimer_;
    /// Lets go of a session that has failed.
    Timer broken_;
};

} // namespace eelgrass::serving
