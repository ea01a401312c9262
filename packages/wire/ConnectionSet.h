#pragma once

#include "base/DeferredCalls.h"
#include "wire/Door.h"

#include <cstdint>
#include <map>
#include <memory>

namespace eelgrass::wire {

/// Connections that were accepted, each kept until its peer closes it.
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

    auto add(std::unique_ptr<Connection> connection) -> void
    {
        const auto id = ++lastId_;
        auto& held = connections_[id];
        held.connection = std::move(connection);
        // A connection must not be destroyed from within its own promise.
        held.closed = held.connection->closed()
                          .then([this, id] { deferred_.add([this, id] { connections_.erase(id); }); })
                          .eagerlyEvaluate([](kj::Exception&&) {});
    }
    [[nodiscard]] auto size() const noexcept -> std::size_t { return connections_.size(); }

private:
    struct Held {
        std::unique_ptr<Connection> connection;
        /// Goes before the connection that it is a promise of.
        kj::Promise<void> closed = kj::NEVER_DONE;
    };

    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, Held> connections_;
    DeferredCalls deferred_;
};

} // namespace eelgrass::wire
