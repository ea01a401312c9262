#pragma once

#include "decisions/ReportThrottle.h"
#include "platform/PlatformClient.h"
#include "router/Metrics.h"
#include "router/Settings.h"
#include "router/controllers/AttemptsController.h"
#include "router/controllers/FenceController.h"
#include "router/controllers/SlotsController.h"
#include "wire/Door.h"
#include "wire/HttpServer.h"
#include "wire/MainLoop.h"

#include <list>
#include <memory>
#include <optional>
#include <set>

namespace eelgrass::router {

/// A target process: the sole owner of one model engine or plain service.
///
/// What an entry believes of the target is a hint; what is decided here holds.
class TargetRole {
public:
    TargetRole(wire::MainLoop& loop, TargetSettings settings);
    ~TargetRole();

    /// Raises the epoch, reads what the engine holds, then takes sessions.
    auto start() -> void;
    /// Refuses new attempts, tells the entries, and quits the loop when the last answer was delivered.
    auto stop() -> void;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return listener_.port(); }

private:
    class Session;
    friend class Session;
    struct Peer {
        /// Not the entry's name, since an entry that reconnects has two of these for a while.
        std::uint64_t session = 0;
        std::string name;
        wire::schema::EntryListener::Client listener;
    };

    /// When an entry was last heard on a connection, and what for.
    struct Heard {
        Moment at;
        /// Those whose answers the entry still waits for.
        std::set<AttemptId> awaited;
    };
    struct Connected {
        std::shared_ptr<Heard> heard;
        std::unique_ptr<wire::Connection> connection;
    };

    auto readEngine() -> kj::Promise<void>;
    auto watchEngine() -> void;
    auto accept(kj::Own<wire::GlibStream> stream) -> void;
    auto drop(const std::shared_ptr<Connected>& peer) -> void;
    auto dropSilent() -> void;
    auto admit(std::string name, wire::schema::EntryListener::Client listener, std::shared_ptr<Heard> heard)
        -> wire::schema::TargetSession::Client;
    auto describe(wire::schema::TargetState::Builder into) const -> void;
    auto loadQueueHolder() -> std::optional<LoadTurns::Listener>;
    auto forget(std::uint64_t session) -> void;
    [[nodiscard]] auto summary() const -> decisions::ReportThrottle::Summary;
    auto pushState() -> void;
    auto changed() -> void;
    auto metricsPage(const wire::HttpExchangePtr& exchange) -> void;

    wire::MainLoop& loop_;
    TargetSettings settings_;
    Metrics metrics_;
    platform::PlatformClient platform_;
    FenceController fence_;
    std::unique_ptr<targets::EngineClient> engine_;
    std::unique_ptr<targets::ServiceClient> service_;
    std::unique_ptr<SlotsController> slots_;
    std::unique_ptr<AttemptsController> attempts_;
    std::list<Peer> peers_;
    std::list<std::shared_ptr<Connected>> connections_;
    std::string incarnation_;
    bool watchingEngine_ = false;
    std::uint64_t pausesSeen_ = 0;
    std::uint64_t lastSession_ = 0;
    bool ready_ = false;
    bool stopping_ = false;
    decisions::ReportThrottle reports_;
    Timer pushTimer_;
    Timer stopTimer_;
    Timer sessionTimer_;
    Timer engineTimer_;
    wire::Listener listener_;
    wire::HttpServer metricsServer_;
    /// Last, so that it goes first: what outlives the role sees by it that the role is gone.
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace eelgrass::router
