#pragma once

#include "platform/PlatformClient.h"
#include "router/WireTypes.h"
#include "router/controllers/LoadQueueController.h"
#include "wire/Door.h"
#include "wire/MainLoop.h"

#include <functional>
#include <memory>
#include <optional>

namespace eelgrass::router {

/// An entry's session with one target process. It is opened on first use, checked with heartbeats and reopened after a
/// loss.
class TargetLink {
public:
    using OnState = std::function<void(wire::schema::TargetState::Reader)>;

    TargetLink(wire::MainLoop& loop, platform::HostRecord host, std::string secret, std::string name, OnState onState,
        LoadQueueController* loads = nullptr);
    ~TargetLink();

    /// Returns the open session, or opens one if there is none. Rejects if the target process cannot be reached.
    [[nodiscard]] auto session() -> kj::Promise<wire::schema::TargetSession::Client>;
    /// Resolves when the currently open session is lost, or at once if no session is open. While a caller holds the
    /// promise, the session is checked with frequent heartbeats.
    [[nodiscard]] auto whenLost() -> kj::Promise<void>;
    /// Whether a promise of whenLost() is held, which means that a call awaits an answer on the session.
    [[nodiscard]] auto hasWaiters() const noexcept -> bool { return waiters_ > 0; }
    /// Records that a message arrived from the target. The message counts like an answered heartbeat.
    auto noteActivity() noexcept -> void { lastActivityAt_ = now(); }
    [[nodiscard]] auto host() const noexcept -> const platform::HostRecord& { return host_; }
    [[nodiscard]] auto isOpen() const noexcept -> bool { return session_.has_value(); }
    [[nodiscard]] auto lastUsed() const noexcept -> Moment { return lastUsed_; }

private:
    class Listener;
    /// Signals the loss of the open session to the holders of whenLost().
    struct Lost {
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
        kj::ForkedPromise<void> promise;
    };

    auto connect() -> kj::Promise<void>;
    auto onOpened(wire::schema::TargetSession::Client session) -> void;
    auto sendHeartbeat() -> void;
    auto scheduleHeartbeat() -> void;
    /// Sends a heartbeat on an idle session and drops the session if no answer comes in time. Never rejects.
    auto probe() -> kj::Promise<void>;
    auto forgetConnecting() -> void;
    /// Closes the connection and resolves the promises of whenLost().
    auto drop(const char* reason) -> void;

    wire::MainLoop& loop_;
    platform::HostRecord host_;
    std::string secret_;
    std::string name_;
    OnState onState_;
    /// Null if this link does not coordinate adapter loads.
    LoadQueueController* loads_;
    std::unique_ptr<wire::Connection> connection_;
    std::optional<wire::schema::TargetSession::Client> session_;
    std::unique_ptr<kj::ForkedPromise<void>> connecting_;
    std::unique_ptr<Lost> lost_;
    /// Incremented whenever a session is opened or lost. A callback that was created under another value does nothing.
    std::uint64_t generation_ = 0;
    Timer heartbeat_;
    Moment lastActivityAt_ {};
    /// Time when the oldest heartbeat without an answer was sent.
    Moment unansweredSince_ {};
    /// Number of promises of whenLost() that are held.
    std::size_t waiters_ = 0;
    Moment lastUsed_ {};
    /// Destroyed with the link. Callbacks hold a weak pointer to it, which tells them whether the link still exists.
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace eelgrass::router
