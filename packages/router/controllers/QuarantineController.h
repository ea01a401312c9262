#pragma once

#include "decisions/ProbeLeases.h"
#include "platform/PlatformClient.h"
#include "router/EngineCrashes.h"
#include "wire/MainLoop.h"
#include "wire/generated/Peer.capnp.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace eelgrass::router {

/// Refuses requests that crash engines, and requests for weights that do, and shares what is known. Target processes
/// include their crashes in the state that they push to entries; quarantined requests are stored in rows
/// `quarantine/<digest>`, which every entry reads.
class QuarantineController {
public:
    QuarantineController(wire::MainLoop& loop, platform::PlatformClient& platform);

    /// What a request holds that may crash its engine, and the digest under which its row is stored.
    struct Request {
        std::string digest;
        decisions::RunContent content;
    };
    [[nodiscard]] static auto requestOf(std::string digest, const ModelName& model) -> Request;

    /// Starts polling the platform's rows.
    auto start() -> void;
    /// Records that a start of the target's engine ended while it ran this request, `alone` if as a known suspect.
    /// Returns why the request is refused from now on, if it is.
    auto recordCrash(const Request& request, const TargetId& target, std::uint64_t engineStart, bool alone)
        -> std::optional<std::string_view>;
    auto recordSuccess(const Request& request, Moment begunAt) -> void;
    /// Starts a run of a suspect request; returns `false` if this entry already runs the request. Simultaneous sends of
    /// a suspect request thus run one at a time.
    [[nodiscard]] auto tryStart(const Request& request) -> bool { return running_.insert(request.digest).second; }
    /// Ends the run that `tryStart` began.
    auto finish(const Request& request) -> void { running_.erase(request.digest); }
    /// Takes over the crashes that a target process reports.
    auto update(wire::schema::TargetState::Reader state) -> void;

    [[nodiscard]] auto crashes(const Request& request) const -> std::uint32_t;
    /// Why the request is not run, if it is not. Once weights have been refused for long, one run may show whether they
    /// still crash engines.
    [[nodiscard]] auto refusal(const Request& request) -> std::optional<std::string_view>;

private:
    auto poll() -> kj::Promise<void>;
    auto persist(const std::string& digest) -> void;
    /// A row says that the request is refused.
    auto applyRow(const std::string& digest) -> void;
    [[nodiscard]] auto now() const -> Moment { return loop_.timers().now(); }

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    EngineCrashes crashes_;
    decisions::ProbeLeases probes_;
    std::set<std::string> running_;
    bool polling_ = false;
    Timer timer_;
};

} // namespace eelgrass::router
