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
/// An entry's view of the target is only a hint; the target process makes the binding decisions.
class TargetRole {
public:
    TargetRole(wire::MainLoop& loop, TargetSettings settings);
    ~TargetRole();

    /// Raises the epoch, reads the engine's state, then accepts sessions.
    auto start() -> void;
    /// Refuses new attempts, notifies the entries, and quits the event loop when the last answer was delivered.
    auto stop() -> void;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return listener_.port(); }

private:
    class Session;
    friend class Session;
    /// An entry session that receives this target's state.
    struct Subscriber {
        /// Identifies the session. The entry's name does not identify it, because a reconnecting entry has two sessions
        /// for a while.
        std::uint64_t session = 0;
        std::string name;
        wire::schema::EntryListener::Client listener;
    };

    /// When an entry last sent anything on its connection, and which answers the entry waits for.
    struct EntryActivity {
        Moment at;
        /// Attempts whose answers the entry still waits for.
        std::set<AttemptId> awaited;
    };
    struct EntryConnection {
        std::shared_ptr<EntryActivity> activity;
        std::unique_ptr<wire::Connection> connection;
    };

    auto readEngineState() -> kj::Promise<void>;
    auto pollEngine() -> void;
    auto accept(kj::Own<wire::GlibStream> stream) -> void;
    auto dropConnection(const std::shared_ptr<EntryConnection>& entry) -> void;
    auto dropSilentConnections() -> void;
    auto openSession(std::string name, wire::schema::EntryListener::Client listener,
        std::shared_ptr<EntryActivity> activity) -> wire::schema::TargetSession::Client;
    auto writeEngineCrashes(wire::schema::TargetState::Builder into) const -> void;
    auto writeState(wire::schema::TargetState::Builder into) const -> void;
    auto loadQueueHolder() -> std::optional<LoadTurns::Listener>;
    auto unsubscribe(std::uint64_t session) -> void;
    [[nodiscard]] auto summary() const -> decisions::ReportThrottle::Summary;
    auto pushState() -> void;
    auto scheduleStatePush() -> void;
    auto serveMetrics(const wire::HttpExchangePtr& exchange) -> void;

    wire::MainLoop& loop_;
    TargetSettings settings_;
    Metrics metrics_;
    platform::PlatformClient platform_;
    FenceController fence_;
    std::unique_ptr<targets::EngineClient> engine_;
    std::unique_ptr<targets::ServiceClient> service_;
    std::unique_ptr<SlotsController> slots_;
    std::unique_ptr<AttemptsController> attempts_;
    std::list<Subscriber> subscribers_;
    std::list<std::shared_ptr<EntryConnection>> connections_;
    std::string incarnation_;
    bool pollingEngine_ = false;
    std::uint64_t lastPauseCount_ = 0;
    std::uint64_t lastSession_ = 0;
    bool ready_ = false;
    bool stopping_ = false;
    decisions::ReportThrottle reports_;
    Timer pushTimer_;
    Timer stopTimer_;
    Timer silenceTimer_;
    Timer engineTimer_;
    wire::Listener listener_;
    wire::HttpServer metricsServer_;
    /// Declared last so that it is destroyed first. Objects that outlive the role hold a weak pointer to this member,
    /// which shows them that the role is gone.
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace eelgrass::router
