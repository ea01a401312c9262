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

/// An entry's session with one target process: opened when first used, watched by heartbeats, opened anew after a loss.
class TargetLink {
public:
    using OnState = std::function<void(wire::schema::TargetState::Reader)>;

    TargetLink(wire::MainLoop& loop, platform::HostRecord host, std::string secret, std::string name, OnState onState,
        LoadQueueController* loads = nullptr);
    ~TargetLink();

    /// The open session; opens one if there is none.
    [[nodiscard]] auto session() -> kj::Promise<wire::schema::TargetSession::Client>;
    /// Kept when the session now open is lost. Whoever holds the promise awaits an answer on this session.
    [[nodiscard]] auto whenLost() -> kj::Promise<void>;
    [[nodiscard]] auto hasWaiters() const noexcept -> bool { return awaited_ > 0; }
    /// Something came from the target: as good as the answer to a heartbeat.
    auto heard() noexcept -> void { heardAt_ = now(); }
    [[nodiscard]] auto host() const noexcept -> const platform::HostRecord& { return host_; }
    [[nodiscard]] auto isOpen() const noexcept -> bool { return session_.has_value(); }
    [[nodiscard]] auto lastUsed() const noexcept -> Moment { return lastUsed_; }

private:
    class Listener;
    struct Lost {
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
        kj::ForkedPromise<void> promise;
    };

    auto connect() -> kj::Promise<void>;
    auto opened(wire::schema::TargetSession::Client session) -> void;
    auto beat() -> void;
    auto nextBeat() -> void;
    auto probe() -> kj::Promise<void>;
    auto drop(const char* reason) -> void;

    wire::MainLoop& loop_;
    platform::HostRecord host_;
    std::string secret_;
    std::string name_;
    OnState onState_;
    /// Null for a link that takes no part in the order of loads.
    LoadQueueController* loads_;
    std::unique_ptr<wire::Connection> connection_;
    std::optional<wire::schema::TargetSession::Client> session_;
    std::unique_ptr<kj::ForkedPromise<void>> connecting_;
    std::unique_ptr<Lost> lost_;
    std::uint64_t generation_ = 0;
    Timer heartbeat_;
    Moment heardAt_ {};
    Moment askedAt_ {};
    std::size_t awaited_ = 0;
    Moment lastUsed_ {};
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace eelgrass::router
