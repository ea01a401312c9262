#pragma once

#include "standins/FaultProxy.h"
#include "standins/ReplicaStandin.h"
#include "standins/StoreStandin.h"
#include "tests/harness/AvailabilityRules.h"
#include "tests/harness/MemberKeys.h"
#include "tests/harness/Process.h"
#include "tests/harness/RetryBudgetRule.h"
#include "tests/harness/StarvationRule.h"
#include "tests/harness/StoreProcess.h"
#include "tests/harness/StreamCaller.h"
#include "wire/HttpCaller.h"
#include "wire/MainLoop.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrass::soak {

/// Most clients wait this long; an undisturbed gateway has answered by then and a little more.
inline constexpr auto clientDeadline = std::chrono::milliseconds(2500);

/// A slow replica takes so many times as long.
inline constexpr auto slowFactor = 3;

/// Versions of the replicas' software; only the first one serves in runs without releases.
inline constexpr auto softwareVersions = std::array { "v1", "v1.1", "v1.2" };

struct Size {
    std::size_t gateways = 3;
    std::size_t engines = 4;
    std::size_t plain = 2;
    std::size_t clients = 12;
    Duration time = 6s;
    /// Names versions of the most-wanted adapters, with most faults on agents, replicas and the ways to them, so that
    /// entries stay in touch with the store for long enough to be judged.
    bool namesVersions = false;
    /// Replicas of several software versions side by side, which releases change in series; clients leave streams and
    /// take them up at any entry.
    bool releases = false;
    /// Light traffic, replicas that fail most requests, and gateways and agents that are killed and restarted in
    /// series.
    bool retries = false;
    /// Members whose keys come and go, a store in a process of its own, and processes that are suspended for short and
    /// long.
    bool keys = false;
    /// Sound replicas that fall silent and go on, changes of the configuration all along and, in every second seed,
    /// planned stops and reloads of gateways.
    bool pauses = false;
    /// A request that crashes the replicas that run it comes again and again, beside the faults of any kind of run but
    /// those with keys.
    bool crashes = false;
    /// Not one request crashes them but one part of prompts, in requests of which no two are alike.
    bool crashingParts = false;
    /// Popular adapters that hold all slots or all but one, beside rare adapters and shared prefixes, on replicas that
    /// are slow at times; beside the faults of any kind of run.
    bool demand = false;
    /// Three kinds of request with prompts of many tokens on replicas that read them one after the other: so many times
    /// what the replicas can read; 0 for none of these.
    double prompts = 0;
    /// Nothing but the traffic disturbs.
    bool faultless = false;
    /// The processor cores that the processes of the system share; 0 for all.
    std::size_t cores = 0;
    /// Where the log of each process is written at the end; nowhere if empty.
    std::string logs {};
};

/// Whether the path leads to model replicas, which answer with streams.
[[nodiscard]] auto isStreamPath(const std::string& path) -> bool;

/// One request as its client saw it.
struct Call {
    std::string attempt;
    std::string path;
    /// 0 when the connection ended before the answer was whole.
    int status = 0;
    std::string body;
    bool sealed = false;
    bool echoed = false;
    std::size_t gateway = 0;
    Moment began {};
    Moment ended {};
    /// Why there is no answer, in the client's words.
    std::string failure;
    /// The key that it came with; empty for none.
    std::string key;
    std::chrono::milliseconds deadline = clientDeadline;
};

/// An attempt of a client to take up a stream.
struct TakeUp {
    std::string attempt;
    std::size_t gateway = 0;
    Moment began {};
    Moment ended {};
    int status = 0;
    /// Whether it brought an event, or the end of the stream.
    bool goneOn = false;
};

/// One stream as its client has it, from all its attempts.
struct Stream {
    std::string first;
    std::size_t gateway = 0;
    Moment began {};
    Moment firstEventBy {};
    int status = 0;
    /// The numbers of its events, and the software versions that wrote them.
    std::vector<std::uint64_t> events;
    std::set<std::string> versions;
    bool whole = false;
    std::vector<TakeUp> takenUp;
};

/// The serving layer as real processes on loopback, with the store and the replicas played here, a fault proxy on each
/// leg, clients that go on asking, and faults in overlapping series, all drawn from a seed.
///
/// A seed decides the faults, their victims, times and lengths; it does not decide how the processes interleave.
class Soak {
public:
    Soak(std::uint64_t seed, Size size, std::string folder);
    ~Soak();
    Soak(const Soak&) = delete;
    auto operator=(const Soak&) -> Soak& = delete;

    /// Plays it; the promises that were broken, a line each.
    [[nodiscard]] auto play() -> std::vector<std::string>;
    [[nodiscard]] auto calls() const noexcept -> std::size_t { return calls_.size(); }
    /// How many calls ended with each status; 0 for none.
    [[nodiscard]] auto statuses() const -> std::map<int, int>;
    /// What came of the streams, for the summary.
    [[nodiscard]] auto streamCounts() const -> std::map<std::string, int>;
    /// How long after its key was taken away the latest request that ran was sent.
    [[nodiscard]] auto latestRemovedKeyRun() const noexcept -> Duration { return latestRemovedKeyRun_; }
    [[nodiscard]] auto faults() const noexcept -> const std::map<std::string, int>& { return faults_; }

private:
    /// A process of the system that is stopped, killed and started again.
    struct Node {
        std::string name;
        std::string role;
        std::string settings;
        std::unique_ptr<tests::Process> process;
        std::unique_ptr<standins::FaultProxy> store;
        std::uint16_t port = 0;
        /// Of a gateway, for others.
        std::uint16_t peerPort = 0;
        bool frozen = false;
        bool stopping = false;
        /// When it was killed, frozen, stopped or started, and when last.
        std::vector<Moment> disturbances;
        Moment disturbedAt {};
        /// When its way to the store was disturbed.
        std::vector<Moment> storeDisturbances;
        /// When it was told to stop, and what its processes before this one have logged.
        std::vector<Moment> stops;
        std::string earlierLog;
    };
    /// A version as the operator named it.
    struct NamedVersion {
        Moment at {};
        std::uint64_t version = 0;
    };
    /// A replica, and the proxies on the way to it and to its agent.
    struct Engine {
        std::unique_ptr<standins::ReplicaStandin> replica;
        std::unique_ptr<standins::FaultProxy> leg;
        std::unique_ptr<standins::FaultProxy> session;
        /// When the leg was disturbed.
        std::vector<Moment> disturbances;
        int starts = 1;
        /// The versions of its software, and when each of its starts began and, if it has, stopped to serve.
        struct Start {
            std::string software;
            Moment from {};
            std::optional<Moment> until {};
        };
        std::vector<Start> served;
    };

    // Start and end.
    auto openSessions() -> void;
    auto startEngine(std::size_t index) -> void;
    auto startNode(Node& node) -> void;
    [[nodiscard]] auto retrySettings() const -> std::string;
    auto writeSettings(Node& node, const std::string& address, const std::string& text) -> void;
    auto publish() -> void;
    auto putRow(const std::string& table, const std::string& key, const std::string& value) -> void;
    [[nodiscard]] auto storePort() const -> std::uint16_t;
    /// As others reach the replica.
    [[nodiscard]] auto listEntry(std::size_t replica) const -> std::string;
    auto configure() -> void;
    /// The next version of the configuration.
    /// Where gateways take clients: an address of this process alone, since the port of a gateway that has been killed
    /// may be given to another process, which would answer its clients.
    [[nodiscard]] static auto clientAddress() -> std::string;
    [[nodiscard]] auto configuration() -> std::string;

    // Clients.
    auto client(std::size_t index) -> kj::Promise<void>;
    [[nodiscard]] auto requestFor(const std::string& attempt, const std::string& path, const std::string& adapter,
        const std::string& body, std::chrono::milliseconds deadline = clientDeadline) -> wire::HttpCall;
    /// Begins streams, leaves some, and takes up each that breaks off.
    auto streamClient() -> kj::Promise<void>;
    auto receive(std::shared_ptr<Stream> stream, std::string attempt, std::size_t gateway)
        -> kj::Promise<tests::ReceivedAnswer>;
    auto takeUpUntilWhole(std::shared_ptr<Stream> stream, int attempts) -> kj::Promise<void>;
    static auto apply(Stream& stream, const tests::ReceivedAnswer& answer) -> bool;
    /// Of an adapter drawn here, if none is named, and with a key drawn here, if keys are needed and none is named.
    auto ask(wire::HttpCaller& caller, std::size_t gateway, const std::string& path, const std::string& adapter = {},
        const std::string& key = {}) -> kj::Promise<Call>;
    /// What one client asks for, again and again.
    struct Demand {
        std::string adapter;
        std::string prefix;
        Duration interval {};
    };
    auto askForDemand(wire::HttpCaller& caller, std::size_t gateway, const Demand& demand, const std::string& path)
        -> kj::Promise<Call>;
    /// Sends the request of a call, and completes the call with the answer.
    auto send(wire::HttpCaller& caller, const Call& sent, wire::HttpCall request) -> kj::Promise<Call>;
    /// A kind of request with long or short prompts, and how often it comes.
    struct PromptKind {
        std::string route;
        int priority = 0;
        std::chrono::milliseconds latencyTarget {};
        std::chrono::milliseconds timeout {};
        double perSecond = 0;
        std::size_t subjects = 1;
        /// Tokens of the part that all of its requests share, of its subject, and of the request itself.
        std::array<std::uint64_t, 3> tokens {};
    };
    auto preparePrompts() -> void;
    auto addPromptRoutes(nlohmann::json& configuration) const -> void;
    auto sendPrompts(const PromptKind& kind) -> kj::Promise<void>;
    /// One request with its prompt, and once more if it is not served.
    auto askWithPrompt(const PromptKind& kind, const std::string& adapter, std::size_t subject, int retries)
        -> kj::Promise<void>;
    /// A rank from 0 on, by Zipf's law.
    [[nodiscard]] auto drawRank(std::size_t count, double skew) -> std::size_t;
    auto prepareDemand() -> void;
    auto sendDemand(const Demand& demand) -> kj::Promise<void>;
    auto slowReplicas() -> kj::Promise<void>;

    // Faults.
    auto disturb() -> kj::Promise<void>;
    auto fault() -> void;
    auto drawFault() -> void;
    auto writeLogs() -> void;
    /// Kills a process that runs undisturbed; another one takes its place.
    auto kill(Node& node) -> void;
    auto faultOnNode(Node& node) -> void;
    auto reload(Node& node) -> void;
    auto stop(Node& node) -> void;
    /// How long a process may take to stop.
    [[nodiscard]] auto grace() const noexcept -> std::chrono::milliseconds { return size_.pauses ? 8s : 4s; }
    auto onStoreLegs(const nlohmann::json& faults) -> void;
    auto faultOnStore() -> void;
    auto faultOnEngine(Engine& engine) -> void;
    auto faultOnLeg(standins::FaultProxy& proxy, const std::string& leg) -> void;
    /// Replicas name rate limits, change and end them.
    auto announceLimits() -> kj::Promise<void>;
    auto announceLimit(standins::ReplicaStandin& replica) -> void;
    /// Replicas ask for rest, serve again before it is over, and say that they leave.
    auto announceAvailability() -> kj::Promise<void>;
    auto leave(std::size_t engine) -> void;
    auto nameVersions() -> kj::Promise<void>;
    /// Replaces replicas by others of another version, planned or not.
    auto release() -> kj::Promise<void>;
    auto replaceEngine(Engine& engine, const std::string& software) -> void;
    /// A fault of a run with releases.
    auto faultBesideReleases() -> void;
    auto faultBesideRetries() -> void;
    auto faultBesideKeys() -> void;
    auto suspend(tests::Process& process, const std::string& name, Duration time) -> void;
    auto suspendNode(Node& node, Duration time) -> void;
    /// The store turns these gateways away for a while, and serves the operator.
    auto turnAway(std::vector<Node*> nodes) -> void;
    auto faultBesidePauses() -> void;
    /// Nothing reaches or leaves the replica for this long, then everything does.
    auto pause(std::size_t replica, Duration time) -> void;
    auto changeConfiguration() -> kj::Promise<void>;
    /// After so many crashes, requests that cause them reach replicas only a few times more.
    struct CrashRule {
        std::size_t crashesBefore = 0;
        std::string_view of;
    };
    auto prepareCrashes() -> void;
    /// How long a replica is away after a crash.
    [[nodiscard]] auto drawCrash() -> std::chrono::milliseconds;
    auto sendCrashing() -> kj::Promise<void>;
    auto vary(nlohmann::json& configuration) -> void;
    [[nodiscard]] auto drawDeadline(const std::string& path) -> std::chrono::milliseconds;
    [[nodiscard]] auto leg(std::size_t replica) const -> standins::FaultProxy&;
    /// Takes keys away and adds others.
    auto changeKeys() -> kj::Promise<void>;
    /// A fault of a run that names versions.
    auto faultBesideVersions() -> void;
    auto faultOnStoreLeg(Node& node) -> void;
    auto behaveFor(Engine& engine, const standins::ReplicaStandin::Behaviour& behaviour, Duration time) -> void;
    /// The index of the path of a client's next request.
    [[nodiscard]] auto drawPath() -> int;
    /// The adapter of the next request of a client.
    [[nodiscard]] auto drawAdapter() -> std::string;
    [[nodiscard]] auto replicas() const -> std::vector<standins::ReplicaStandin*>;
    auto later(Duration delay, std::function<void()> step) -> void;
    auto restart(Node& node, Duration after) -> void;
    auto restartEngine(Engine& engine) -> void;
    auto disturbed(Node& node) -> void;
    auto mendAll() -> void;
    auto sayEnded(const std::string& what, Node& node) -> void;
    auto note(const std::string& kind) -> void { ++faults_[kind]; }
    [[nodiscard]] auto number(int least, int most) -> int;
    [[nodiscard]] auto chance(double probability) -> bool;
    /// One of a list, drawn from `first` on.
    template <typename List> [[nodiscard]] auto any(List& list, int first = 0) -> auto&
    {
        return list.at(static_cast<std::size_t>(number(first, static_cast<int>(list.size()) - 1)));
    }
    [[nodiscard]] auto soon(int least, int most) -> Duration { return std::chrono::milliseconds(number(least, most)); }

    // Judgement.
    auto judgeCall(const Call& call, std::size_t runs, std::vector<std::string>& broken) const -> void;
    auto judgeRuns(std::vector<std::string>& broken) const -> void;
    [[nodiscard]] auto rule() const -> tests::RetryBudgetRule;
    /// The requests for a service, and what its replicas got beyond the first arrival of each.
    [[nodiscard]] auto trafficOf(const std::string& service,
        const std::vector<const standins::ReplicaStandin*>& replicas) const -> tests::RetryBudgetRule::Traffic;
    auto judgeRepeats(std::vector<std::string>& broken) -> void;
    auto judgeOrders(std::vector<std::string>& broken) const -> void;
    auto judgeLimits(std::vector<std::string>& broken) const -> void;
    auto judgeAvailability(std::vector<std::string>& broken) const -> void;
    auto judgeVersions(std::vector<std::string>& broken) const -> void;
    auto judgeVersion(
        const standins::ReplicaStandin::Run& run, std::size_t gateway, std::vector<std::string>& broken) const -> void;
    auto judgeStream(const Stream& stream, std::vector<std::string>& broken) const -> void;
    /// Of streams that are taken up while two replicas of their version serve, at least half as many go on as new ones
    /// begin.
    auto judgeStreamsGoneOn(std::vector<std::string>& broken) const -> void;
    /// How many replicas of the version serve all the while.
    [[nodiscard]] auto servingAll(const std::string& software, Moment from, Moment until) const -> std::size_t;
    [[nodiscard]] auto inTouch(std::size_t gateway, Moment from, Moment until) const -> bool;
    /// Since when a gateway has been in touch with the store, at `at`.
    [[nodiscard]] auto inTouchSince(std::size_t gateway, Moment at) const -> Moment;
    auto judgeNewestVersions(std::vector<std::string>& broken) -> void;
    /// No run later than the bound after its key was taken away, and most requests with living keys are served.
    auto judgeKeys(std::vector<std::string>& broken) -> void;
    /// Every request whose replica gave its whole answer in time has it; a pause excuses nothing.
    auto judgeLost(std::vector<std::string>& broken) -> void;
    struct LostRun {
        std::size_t replica = 0;
        Moment at {};
        /// When a client that waited had, or would have had, the first event and the whole answer.
        Moment first {};
        Moment whole {};
    };
    [[nodiscard]] auto longestRunTime(bool stream) const -> Duration;
    [[nodiscard]] auto runsOfAll() const -> std::map<std::string, std::vector<LostRun>>;
    /// When what a replica writes at this moment leaves it.
    [[nodiscard]] auto leaves(std::size_t replica, Moment at) const -> Moment;
    /// Whether a request that got no whole answer from a gateway should have had one.
    [[nodiscard]] auto lost(const Call& call, const std::vector<LostRun>& runs, bool arrived) const -> bool;
    /// Whether a request ended with its gateway's stop, while the run was at work in the last part of the grace period.
    [[nodiscard]] auto endedAtWorkByStop(const Call& call, const LostRun& run) const -> bool;
    [[nodiscard]] auto outlastsStop(const Call& call, const LostRun& run, Duration slack) const -> bool;
    /// Whether its gateway stopped, and neither passed it on nor knows of it: it crossed a close or came too late.
    [[nodiscard]] auto unreadAtStop(const Call& call, bool arrived) const -> bool;
    /// The shortest time that routes gave a request in the meantime.
    [[nodiscard]] auto timeFor(const Call& call) const -> Duration;
    [[nodiscard]] auto storyOf(const Call& call, const std::vector<LostRun>& runs) const -> std::string;
    /// What a process has logged about a request.
    [[nodiscard]] static auto linesOf(const std::string& log, const std::string& attempt) -> std::string;
    /// What the processes that run now have logged of the replicas' rate limits.
    [[nodiscard]] auto rateLimitLines() -> std::string;
    /// Why gateways did not serve requests for the adapter, as they have logged it.
    [[nodiscard]] auto refusalsOf(const std::string& adapter) const -> std::string;
    /// No more adapters, shared prefixes and kinds of request go without service than the users' rule allows.
    auto judgeDemand(std::vector<std::string>& broken) -> void;
    /// A request under which three replicas have crashed reaches few more, and so do requests with a part under which
    /// five have.
    auto judgeCrashes(std::vector<std::string>& broken) -> void;
    /// Requests that share other parts with those are not refused.
    auto judgeBesideCrashes(std::vector<std::string>& broken) -> void;
    /// Sends a request that shares its caller and other parts with a crashing one.
    auto sendBesideCrashing(std::size_t gateway) -> void;
    [[nodiscard]] auto crashRule() const -> CrashRule;
    /// Every gateway serves a living key of each member, every adapter and every kind of request again.
    auto judgeLivingKeys(std::vector<std::string>& broken) -> void;
    /// Whether a gateway may have missed what a replica told it, or may have forgotten it.
    [[nodiscard]] auto excused(std::size_t replica, std::size_t gateway, Moment from, Moment until) const -> bool;
    auto judgeLog(Node& node) -> void;
    /// The longest time in which this process, which plays clients and replicas, took no turn of its loop.
    [[nodiscard]] auto longestPause(Moment from, Moment until) const -> Duration;
    auto judgeRecovery(std::vector<std::string>& broken) -> void;

    /// A time in which this process took no turn of its loop.
    struct Pause {
        Moment from {};
        Moment until {};
    };

    wire::MainLoop loop_;
    std::vector<Pause> pauses_;
    Moment lastTurn_ {};
    Timer turnTimer_;
    std::mt19937_64 random_;
    /// Draw the rate limits, and the rests and leavings, so that these do not change the other faults of a seed.
    std::mt19937_64 limitRandom_;
    std::mt19937_64 availabilityRandom_;
    std::mt19937_64 versionRandom_;
    std::mt19937_64 streamRandom_;
    std::mt19937_64 keyRandom_;
    std::mt19937_64 crashRandom_;
    std::mt19937_64 demandRandom_;
    Size size_;
    std::string folder_;
    /// Plays the store in this process, unless it has a process of its own.
    standins::StoreStandin store_;
    std::unique_ptr<tests::StoreProcess> storeProcess_;
    bool storeSuspended_ = false;
    /// The first gateway is left alone, and the store is suspended only briefly, so that living keys are served there
    /// throughout.
    bool sparesFirst_ = false;
    tests::MemberKeys keys_;
    Duration latestRemovedKeyRun_ {};
    std::vector<Engine> engines_;
    std::vector<std::unique_ptr<standins::ReplicaStandin>> plain_;
    /// The ways to the plain replicas in runs with pauses.
    std::vector<std::unique_ptr<standins::FaultProxy>> plainLegs_;
    /// When each replica was silent, engines first.
    std::vector<std::vector<Pause>> silences_;
    /// The time that routes give a request, from each configuration on.
    std::vector<std::pair<Moment, Duration>> routeTimes_;
    bool plannedStops_ = false;
    /// Whether streams last for half of a stop.
    bool longStreams_ = false;
    std::vector<Node> agents_;
    std::vector<Node> gateways_;
    std::vector<Call> calls_;
    /// When clients sent requests, by service.
    std::map<std::string, std::vector<Moment>> requestsSent_;
    std::vector<std::shared_ptr<Stream>> streams_;
    /// When a replica crashed under the request that crashes them, and which gateway got each of its attempts.
    std::vector<Moment> crashes_;
    std::map<std::string, std::size_t> crashSenders_;
    /// Status of the answers to requests beside those.
    std::map<std::string, int> besideCrashes_;
    std::vector<Demand> demand_;
    std::vector<PromptKind> promptKinds_;
    std::vector<kj::Promise<void>> demandCalls_;
    std::map<std::string, tests::StarvationRule> demandRules_ { { "adapters", {} }, { "prefixes", {} },
        { "kinds", {} } };
    /// What an engine does while nothing is wrong with it.
    standins::ReplicaStandin::Behaviour usual_;
    std::map<std::string, int> faults_;
    std::vector<Timer> steps_;
    std::vector<std::string> broken_;
    std::uint16_t agentPort_ = 0;
    std::uint64_t version_ = 0;
    std::map<std::string, std::vector<NamedVersion>> named_;
    /// When all ways to the store were disturbed.
    std::vector<Moment> storeDisturbances_;
    std::uint64_t asked_ = 0;
    bool calm_ = false;
    bool over_ = false;
};

} // namespace eelgrass::soak
