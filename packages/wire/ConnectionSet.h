#pragma once

#include "base/DeferredCalls.h"
#include "wire/Door.h"

#include <cstdint>
#include <map>
#include <memory>

namespace eelgrass::wire {

/// Connections that were accepted, each kept until its peer closes it or `end` is called.
///
/// ```cpp
/// connections.add(std::make_unique<Connection>(kj::mv(stream), bootstrap));
/// ```
class ConnectionSet {
public:
    explicit ConnectionSet(TimerService& timers)
        : deferred_(timers)
    {
    }

    /// Number of a connection, in the order of acceptance.
    using Id = std::uint64_t;

    /// The number that the next connection gets.
    [[nodiscard]] auto nextId() const noexcept -> Id { return lastId_ + 1; }
    auto add(std::unique_ptr<Connection> connection) -> void
    {
        const auto id = ++lastId_;
        auto& held = connections_[id];
        held.connection = std::move(connection);
        // A connection must not be destroyed from within its own promise.
        held.closed = held.connection->closed().then([this, id] { end(id); }).eagerlyEvaluate([](kj::Exception&&) {});
    }
    /// Closes a connection once the callback at hand has returned.
    auto end(Id id) -> void
    {
        deferred_.add([this, id] { connections_.erase(id); });
    }
    [[nodiscard]] auto size() const noexcept -> std::size_t { return connections_.size(); }

private:
    struct Held {
        std::unique_ptr<Connection> connection;
        /// Goes before the connection that it is a promise of.
        kj::Promise<void> closed = kj::NEVER_DONE;
    };

    Id lastId_ = 0;
    std::map<Id, Held> connections_;
    DeferredCalls deferred_;
};

} // namespace eelgrass::wire
