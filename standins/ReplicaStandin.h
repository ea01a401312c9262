#pragma once

#include "standins/PromptReading.h"
#include "standins/StoreStandin.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrass::standins {

/// One event of a stream: its number, and the software version of the replica that writes it.
[[nodiscard]] auto streamEvent(std::uint64_t number, const std::string& software = "v1") -> std::string;
/// The events `first` to `last`.
[[nodiscard]] auto streamEvents(std::uint64_t first, std::uint64_t last, const std::string& software = "v1")
    -> std::string;

/// A replica of the users' platform: model requests as streams of events, orders, reports, health. Plain requests get a
/// short body.
class ReplicaStandin {
public:
    /// A moment of a run's answer at which it is silent for a while.
    struct Silence {
        /// `InAnswer` is between two events, or in the middle of a plain body. `InEvent` is between two bytes of one.
        enum class At { Nowhere, BeforeHead, AfterHead, InAnswer, InEvent, BeforeEnd } at = At::Nowhere;
        Duration time {};
        /// How many more runs are silent; all if null. Shared by the replicas that were given it.
        std::shared_ptr<int> runs {};
    };
    /// What it does with the next requests.
    struct Behaviour {
        /// Events of a stream, and how many it sends before it does what `then` says.
        std::uint64_t events = 5;
        std::uint64_t sent = 5;
        enum class Then { Finish, Reset, Silence } then = Then::Finish;
        /// How many more runs end as `then` says; the others finish. Shared by the replicas that were given it.
        std::shared_ptr<int> times {};
        /// Answers this status in place of running; with the mark that it has not run if `notRun`.
        int status = 200;
        /// Of so many requests one runs, whatever `status` says; none if 0.
        std::uint64_t runsOneOf = 0;
        bool notRun = false;
        /// Begins each stream with its first event, whatever the client has.
        bool beginsAnew = false;
        /// Sends an answer to a request that nobody asked before the right one.
        bool strangerFirst = false;
        /// Orders get no answer.
        bool loseOrders = false;
        /// The health check answers 503 and does not say which instance it is.
        bool unhealthy = false;
        /// How long a request waits, after its version has been checked, before it begins.
        Duration beginsAfter {};
        /// How long a model request runs after its first token.
        Duration runsFor {};
        /// Prompt tokens that it reads in a millisecond, one prompt after the other; 0 for all prompts at once.
        double readRate = 0;
        /// Time between two events of a stream.
        Duration eventGap {};
        /// Whether requests for an adapter are taken while an order waits for its runs; if not, they are turned away.
        bool runsWhileReplacing = false;
        Silence silence {};
    };
    /// How requests with this body, this part of their prompts or this adapter crash the replica that runs them.
    struct Crash {
        std::string body;
        /// The id of a part that is not the last one; none if empty.
        std::string part {};
        /// The model's name with the adapter's; none if empty.
        std::string model {};
        /// Events of the stream that are sent before.
        std::uint64_t events = 0;
        /// From the begin of the run until the crash.
        Duration after { 50ms };
        /// Whether its callers see nothing of the crash: their connections stay as they are.
        bool silent = false;

        [[nodiscard]] auto isUnder(const wire::HttpRequestMessage& request) const -> bool;
    };
    /// A request that began to run: that produced its first token.
    struct Run {
        Moment at {};
        std::string attempt;
        std::string target;
        std::string adapter;
        /// Of the adapter at the first token; 0 for requests without one.
        std::uint64_t version = 0;
        std::uint64_t from = 0;
        /// Of the replica that ran it.
        std::string software;
        wire::HeaderFields fields;
        std::string body;
        /// When it was over or its connection was closed; empty while it goes on.
        std::optional<Moment> endedAt {};
        /// Whether the replica's end cut it off.
        bool crashed = false;
    };

    /// A request that reached the replica, whether it ran or was refused, and what its answer asked for.
    struct Arrival {
        Moment at {};
        std::string attempt;
        /// Which start of the replica it reached.
        std::uint64_t start = 0;
        /// For how long the replica wants nothing more from the host, as written; empty for nothing.
        std::string rest;
        bool leaving = false;
    };
    /// What its answers said about its rate limit from `since` on; empty for nothing.
    struct Announcement {
        Moment since {};
        std::string limit;
        /// When the first answer with it was written; nobody can know it before.
        std::optional<Moment> namedAt {};
    };

    ReplicaStandin(TimerService& timers, const std::string& address, std::string instance, std::string service);

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return server_.port(); }
    [[nodiscard]] auto endpoint() const -> Endpoint { return { address_, port() }; }
    [[nodiscard]] auto instance() const noexcept -> const std::string& { return instance_; }
    /// Its entry in the platform's list.
    [[nodiscard]] auto entry(const std::string& state = "ready") const -> std::string;
    auto behave(Behaviour behaviour) -> void { behaviour_ = behaviour; }
    /// Names this rate limit, in requests per second, in every answer to a request from now on; none if empty.
    auto announceLimit(const std::string& limit) -> void { announcements_.push_back({ timers_.now(), limit, {} }); }
    [[nodiscard]] auto announcements() const noexcept -> const std::vector<Announcement>& { return announcements_; }
    /// Turns every request away and asks for this many seconds of rest, from now on; ends that if empty.
    auto askForRest(const std::string& seconds) -> void { rest_ = seconds; }
    /// The same for calls: reports, orders and health checks.
    auto askCallersForRest(const std::string& seconds) -> void { restOfCallers_ = seconds; }
    /// Says in every answer that it leaves, until it starts again.
    auto announceLeaving() -> void { leaving_ = true; }
    [[nodiscard]] auto leaving() const noexcept -> bool { return leaving_; }
    [[nodiscard]] auto arrivals() const noexcept -> const std::vector<Arrival>& { return arrivals_; }
    /// When reports, orders and health checks reached the replica.
    [[nodiscard]] auto calls() const noexcept -> const std::vector<Moment>& { return calls_; }
    [[nodiscard]] auto runs() const noexcept -> const std::vector<Run>& { return runs_; }
    [[nodiscard]] auto orders() const noexcept -> const std::vector<std::string>& { return orders_; }
    [[nodiscard]] auto crashed() const noexcept -> bool { return crashed_; }
    /// Requests that were ended by their caller's close.
    [[nodiscard]] auto cancelled() const noexcept -> std::size_t { return cancelled_; }
    /// The operator has named this version of an adapter: loads that name none take it from now on.
    auto nameVersion(const std::string& adapter, std::uint64_t version) -> void { newest_[adapter] = version; }
    /// The version of an adapter that it holds; 0 for none.
    [[nodiscard]] auto heldVersion(const std::string& adapter) const -> std::uint64_t;
    auto setAdapterSlots(std::size_t slots) -> void { slots_ = slots; }
    /// The version of its software, named in its entry and in each event; empty for none.
    auto setSoftware(const std::string& version) -> void { software_ = version; }
    [[nodiscard]] auto software() const noexcept -> const std::string& { return software_; }
    /// When its current start began.
    [[nodiscard]] auto startedAt() const noexcept -> Moment { return startedAt_; }
    /// Does nothing for so long, and then goes on where it was: what has reached it meanwhile is handled then, also
    /// calls whose connections have been closed since.
    auto pauseFor(Duration length) -> void;
    [[nodiscard]] auto paused() const noexcept -> bool { return paused_; }
    /// Names no time of birth from now on.
    auto hideBirth() -> void { tellsBirth_ = false; }
    /// Crashes under requests as `crash` says, and tells of it; the next start is left to who is told.
    auto crashUnder(Crash crash, std::function<void()> onCrash) -> void;
    /// Ends the current start, and refuses connections until the next one.
    auto end(bool silent) -> void;
    [[nodiscard]] auto ended() const noexcept -> bool { return over_; }
    /// A new start at the same address, also under the same name: empty, born later.
    auto restart(const std::string& instance) -> void;
    /// Carries out the orders whose answers were lost, as far as their conditions still hold; tells how many did.
    auto carryOutLost() -> std::size_t;
    auto server() noexcept -> LoopServer& { return server_; }

private:
    using Caller = std::shared_ptr<serving::CallerExchange>;
    auto handle(const Caller& caller, const wire::HttpRequestMessage& request) -> void;
    auto handleCall(const Caller& caller, const wire::HttpRequestMessage& request) -> void;
    /// Answers with the fields that every answer has.
    auto respond(const Caller& caller, wire::HttpResponseHead head, const std::string& body) const -> void;
    auto report(const Caller& caller) -> void;
    auto order(const Caller& caller, const wire::HttpRequestMessage& request) -> void;
    [[nodiscard]] auto carryOut(const std::string& body) -> int;
    auto runModel(const Caller& caller, const wire::HttpRequestMessage& request) -> void;
    /// Why a request for this adapter is turned away before it waits; empty if it is not.
    [[nodiscard]] auto refusal(const std::string& adapter, const wire::HttpRequestMessage& request) const
        -> std::optional<wire::HttpResponseHead>;
    /// How long the request waits until its prompt has been read, behind the prompts before it.
    [[nodiscard]] auto readingTime(const wire::HttpRequestMessage& request, const std::string& adapter) -> Duration;
    auto begin(const Caller& caller, const wire::HttpRequestMessage& request, const std::string& adapter) -> void;
    auto beginCrash(const Caller& caller, wire::HttpResponseHead head) -> void;
    /// A stream that is being written: its next event, and how it ends after `last`.
    struct Output {
        Caller caller;
        std::string adapter;
        std::uint64_t next = 0;
        std::uint64_t last = 0;
        Behaviour::Then then = Behaviour::Then::Finish;
        /// Its place in the list of runs.
        std::size_t run = 0;
        /// Bytes of the next event that are written already.
        std::size_t written = 0;
        Silence silence {};
    };
    auto beginAnswer(Output output, wire::HttpResponseHead head, bool streamed) -> void;
    auto respondInParts(const Output& output, const wire::HttpResponseHead& head) -> void;
    [[nodiscard]] auto nextSilence() -> Silence;
    /// How long the run is silent at this moment; it is only once.
    [[nodiscard]] static auto silenceAt(Output& output, Silence::At at) -> Duration;
    auto planStream(Output& output) -> void;
    auto writeEvents(Output output) -> void;
    auto endStream(Output output) -> void;
    /// Goes on with the run after the delay, or ends it if its connection has been closed.
    auto continueAfter(Duration delay, const Output& output, std::function<void()> step) -> void;
    auto over(const Output& output) -> void;
    auto afterwards(Duration delay, std::function<void()> step) -> void;
    /// Takes the step now, or when the pause is over.
    auto unlessPaused(std::function<void()> step) -> void;
    auto resume() -> void;
    /// Whether requests for the adapter run or wait to begin.
    [[nodiscard]] auto runs(const std::string& adapter) const -> bool;
    /// The answer's status. Unloads, loads or replaces the adapter once none of its runs is left.
    [[nodiscard]] auto unload(const std::string& adapter) -> int;
    auto load(const std::string& adapter, std::uint64_t version) -> void;
    /// `start` is the start of the replica at which the run began.
    auto runEnded(const std::string& adapter, std::uint64_t start) -> void;
    [[nodiscard]] auto answerHead(const wire::HttpRequestMessage& request, int status) const -> wire::HttpResponseHead;
    /// The head is about to be written.
    auto noteNamedLimit(const wire::HttpResponseHead& head) -> void;
    [[nodiscard]] auto adapterNames() const -> std::vector<std::string>;

    TimerService& timers_;
    std::string address_;
    std::string instance_;
    std::string service_;
    std::string software_ = "v1";
    Moment startedAt_ {};
    Behaviour behaviour_;
    std::vector<Run> runs_;
    std::vector<Arrival> arrivals_;
    std::vector<Moment> calls_;
    std::string rest_;
    std::string restOfCallers_;
    bool leaving_ = false;
    std::vector<Announcement> announcements_;
    std::vector<std::string> orders_;
    std::vector<std::string> lostOrders_;
    std::map<std::string, std::uint64_t> adapters_;
    std::map<std::string, std::uint64_t> newest_;
    /// Orders that wait for the runs of their adapter: the version that replaces the held one, or empty for an unload.
    std::map<std::string, std::optional<std::uint64_t>> waitingOrders_;
    /// Requests for an adapter that run, or wait to begin.
    std::map<std::string, std::size_t> running_;
    PromptReading prompts_;
    std::uint64_t sequence_ = 0;
    std::uint64_t begun_ = 0;
    std::optional<Crash> crash_;
    std::function<void()> onCrash_;
    bool over_ = false;
    std::uint64_t highestFence_ = 0;
    std::uint64_t born_ = 1'700'000'000'000;
    std::size_t slots_ = 2;
    bool hasModel_ = true;
    bool crashed_ = false;
    std::size_t cancelled_ = 0;
    std::vector<Timer> timersOfRuns_;
    bool tellsBirth_ = true;
    bool paused_ = false;
    Timer pauseTimer_;
    /// What happened during the pause, in that order.
    std::vector<std::function<void()>> heldSteps_;
    LoopServer server_;
};

} // namespace eelgrass::standins
