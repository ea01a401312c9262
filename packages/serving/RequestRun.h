#pragma once

#include "decisions/ReplicaChoice.h"
#include "platform/RequestHeaders.h"
#include "serving/CallerExchange.h"
#include "serving/EventSplitter.h"
#include "serving/GatewayContext.h"
#include "serving/ReplicaLeg.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace eelgrass::serving {

/// One attempt of a client, from its whole request to the end of its answer: route, place, admit, send, relay, and what
/// may still be tried when something fails.
///
/// It keeps itself alive by the callbacks it has registered, and ends by dropping them.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    RequestRun(GatewayContext& gateway, std::shared_ptr<CallerExchange> caller, wire::HttpRequestMessage request);
    auto start() -> void;

private:
    /// What of the answer the client has.
    enum class Told { Nothing, Streaming, Whole };

    // The way to a replica.
    [[nodiscard]] auto readRequest() -> bool;
    /// Who asks, by the key; false when the request is over, since nobody may or it cannot be told.
    [[nodiscard]] auto authenticate() -> bool;
    /// Whether the key may still be used, by what is known now; asked before each send.
    [[nodiscard]] auto keyHolds() -> bool;
    auto takeQuota() -> void;
    auto quotaAnswered(const QuotaCharge& charge, const QuotaDecision& verdict) -> void;
    [[nodiscard]] auto urgency() const -> std::uint32_t;
    auto place() -> void;
    auto approach() -> void;
    /// Opens the session with the chosen replica's agent before asking for admission.
    auto openSession() -> void;
    auto sessionOpened() -> void;
    auto sessionFailed() -> void;
    struct Choice {
        ReplicaPtr replica;
        /// When it would begin there, as far as is known here.
        Duration start {};
    };
    [[nodiscard]] auto choose() -> std::optional<Choice>;
    /// Whether it may get this request at all, and whether it may and was not found to be late.
    [[nodiscard]] auto mayTake(const Replica& replica, Moment now) const -> bool;
    [[nodiscard]] auto mayTry(const Replica& replica, Moment now) const -> bool;
    [[nodiscard]] auto viewOf(const ReplicaPtr& replica, Duration fastest, double readRate) const
        -> decisions::ReplicaView;
    auto waitForPlace() -> void;
    auto admit() -> void;
    auto admitted(const AdmitResult& result) -> void;
    /// It would be late at the replica that was asked: goes where it begins sooner, if there is such a one.
    auto lateThere(const AdmitResult& result) -> void;
    auto checkAgent() -> void;
    auto abandonAdmission(std::string_view why) -> void;
    auto send(std::optional<AdapterVersion> version) -> void;

    // What comes back.
    auto onHead(const wire::HttpResponseHead& head) -> void;
    auto onBody(std::string_view bytes) -> void;
    auto onEvents(std::string_view bytes) -> void;
    auto tellEvent(const StreamEvent& event) -> bool;
    auto onDone() -> void;
    auto onFault(LegFault fault) -> void;
    auto onNotRun(std::string_view why) -> void;
    auto onSilence() -> void;
    auto armSilence() -> void;

    // What may still be tried.
    [[nodiscard]] auto mayRunAgain() const -> bool;
    auto again(std::string_view why) -> void;
    auto leaveReplica(bool keepConnection, RunEnd end = RunEnd::Plain) -> void;

    // The end.
    auto onTimeUp() -> void;
    auto onCallerGone() -> void;
    auto refuse(std::string_view why, milliseconds retryAfter) -> void;
    auto refuseWith(int status, std::string_view why, milliseconds retryAfter) -> void;
    auto fail(int status, std::string_view why) -> void;
    auto giveUp(std::string_view why) -> void;
    auto finish(int status, std::string_view outcome, std::string_view why) -> void;
    auto logDecision(std::string_view event, std::string_view why) const -> void;
    [[nodiscard]] auto timeLeft() const -> Duration;
    [[nodiscard]] auto sharedTokens() const -> Tokens { return shared_.empty() ? 0 : shared_.back().tokens; }
    [[nodiscard]] auto zonePenalty() const -> Duration;
    /// A timer's callback that holds the run while it is at work, since its last answer may let go of it.
    [[nodiscard]] auto guarded(void (RequestRun::*step)()) -> std::function<void()>;

    GatewayContext& gateway_;
    std::shared_ptr<CallerExchange> caller_;
    wire::HttpRequestMessage request_;
    RequestMetadata facts_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    const RouteRecord* route_ = nullptr;
    /// Who asks; null where nobody is asked for a key.
    const MemberRecord* member_ = nullptr;
    /// What was counted against the member's quota.
    std::optional<QuotaCharge> charged_;
    ServiceName service_;
    Moment beganAt_ {};
    Moment lateAt_ {};
    Moment endAt_ {};
    /// When a client that has seen no event of its stream leaves.
    Moment firstBy_ {};
    /// Names what would run, and for whom, through whichever entry it comes.
    std::string digest_;
    /// The parts of the prompt that others share, from the first up to each of them.
    std::vector<decisions::SharedPrefix> shared_;

    ReplicaPtr replica_;
    std::set<InstanceId> tried_;
    /// Replicas at which it would be late, and the one of them at which it would begin first.
    std::set<InstanceId> late_;
    std::uint32_t sentOn_ = 0;
    ReplicaPtr soonest_;
    Moment soonestStart_ {};
    kj::Maybe<kj::Promise<void>> admission_;
    /// Counts admissions asked for, so that the answer to an abandoned one is told apart.
    std::uint32_t admissions_ = 0;
    AgentLink* grantedBy_ = nullptr;
    /// When the admission under way was asked for.
    Moment askedAt_ {};
    std::shared_ptr<ReplicaConnection> connection_;
    wire::HttpResponseHead head_;
    std::string body_;
    EventSplitter events_;
    std::optional<std::uint64_t> lastEvent_;
    bool streaming_ = false;
    bool firstEventSeen_ = false;
    std::uint32_t sends_ = 0;
    /// Sends after which the replica may have run the request.
    std::uint32_t runs_ = 0;
    Moment sentAt_ {};
    Moment firstAt_ {};
    Moment lastTold_ {};
    /// Between two events of the stream.
    Duration longestPause_ {};
    Told told_ = Told::Nothing;
    bool over_ = false;
    Timer end_;
    Timer silence_;
    Timer wait_;
};

} // namespace eelgrass::serving
