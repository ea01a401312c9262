#include "router/entry/TargetLink.h"

#include "base/Log.h"

namespace eelgrass::router {

namespace {

constexpr auto heartbeatPeriod = Duration(1s);
// The time of three missed heartbeats. A lower limit would drop the session of a process that is only busy. A higher
// limit would keep callers waiting on a connection that a network device has stopped forwarding.
constexpr auto silenceLimit = Duration(3s);
// A round trip between regions takes a tenth of this timeout. A longer timeout would delay the first token for a caller
// whose request waits for the probe.
constexpr auto probeTimeout = Duration(500ms);
constexpr auto connectTimeout = Duration(2s);
// An entry holds up to a thousand idle sessions, and no call waits on them. Heartbeats every 20 s would use 14 KB/s of
// an entry's limit of 16 KB/s. An unused session is closed after a minute and is probed before it is used again, so
// this period matters only for sessions that are kept open longer for another reason.
constexpr auto idleHeartbeatPeriod = Duration(60s);

} // namespace

/// Receives the messages that the target process pushes.
class TargetLink::Listener final : public wire::schema::EntryListener::Server {
public:
    Listener(TargetLink& link, std::weak_ptr<char> alive)
        : link_(link)
        , alive_(std::move(alive))
    {
    }

    auto targetChanged(TargetChangedContext context) -> kj::Promise<void> override
    {
        if (alive_.lock()) {
            link_.noteActivity();
            link_.onState_(context.getParams().getState());
        }
        return kj::READY_NOW;
    }

    auto ping(PingContext) -> kj::Promise<void> override
    {
        // A link that has dropped this session must not confirm it as alive.
        KJ_REQUIRE(!alive_.expired(), "this session is over");
        return kj::READY_NOW;
    }

    auto loadTurn(LoadTurnContext context) -> kj::Promise<void> override
    {
        KJ_REQUIRE(!alive_.expired() && link_.loads_, "there is no load queue here");
        auto params = context.getParams();
        const auto oldest = now() - Duration(std::chrono::milliseconds(params.getWaitedMs()));
        return link_.loads_->requestTurn({ TargetId(params.getTarget()), params.getWeight(), oldest })
            .then([context](bool granted) mutable { context.getResults().setGranted(granted); });
    }

    auto loadDone(LoadDoneContext context) -> kj::Promise<void> override
    {
        KJ_REQUIRE(!alive_.expired() && link_.loads_, "there is no load queue here");
        link_.loads_->releaseTurn(TargetId(context.getParams().getTarget()));
        return kj::READY_NOW;
    }

private:
    TargetLink& link_;
    std::weak_ptr<char> alive_;
};

TargetLink::TargetLink(wire::MainLoop& loop, platform::HostRecord host, std::string secret, std::string name,
    OnState onState, LoadQueueController* loads)
    : loop_(loop)
    , host_(std::move(host))
    , secret_(std::move(secret))
    , name_(std::move(name))
    , onState_(std::move(onState))
    , loads_(loads)
{
}

TargetLink::~TargetLink() { drop("closed"); }

auto TargetLink::session() -> kj::Promise<wire::schema::TargetSession::Client>
{
    lastUsed_ = now();
    if (session_ && now() - lastActivityAt_ <= silenceLimit)
        return *session_;
    // The loss of an idle session may not have been noticed yet. If a start were sent on a lost session, the loss would
    // go unnoticed for seconds, and it would be unknown whether the request ran. The session is therefore probed first
    // and reopened if the probe fails.
    if (session_) {
        return probe().then([this, alive = std::weak_ptr(alive_)] {
            KJ_REQUIRE(!alive.expired(), "the link was closed");
            return session();
        });
    }
    if (!connecting_)
        connecting_ = std::make_unique<kj::ForkedPromise<void>>(connect().fork());
    return connecting_->addBranch().then([this, alive = std::weak_ptr(alive_)] {
        KJ_REQUIRE(!alive.expired() && session_.has_value(), "the session was lost");
        return *session_;
    });
}

auto TargetLink::connect() -> kj::Promise<void>
{
    auto alive = std::weak_ptr(alive_);
    auto entered = wire::connectTo(host_.address, host_.port)
                       .then([this, alive](kj::Own<wire::GlibStream> stream) {
                           KJ_REQUIRE(!alive.expired(), "the link was closed");
                           connection_ = std::make_unique<wire::Connection>(kj::mv(stream));
                           auto door = connection_->bootstrap().castAs<wire::schema::Door>();
                           return wire::enterDoor(kj::mv(door), secret_, name_, kj::heap<Listener>(*this, alive_));
                       })
                       .then([this, alive](wire::schema::TargetSession::Client session) {
                           // The first heartbeat returns the target's epoch, without which no start is accepted.
                           auto first = session.heartbeatRequest().send();
                           return first.then([this, alive, session = kj::mv(session)](auto&& answer) mutable {
                               if (alive.lock())
                                   onState_(answer.getState());
                               return kj::mv(session);
                           });
                       });
    auto timeout = loop_.sleep(connectTimeout).then([]() -> wire::schema::TargetSession::Client {
        KJ_FAIL_REQUIRE("connecting took too long");
    });
    return entered.exclusiveJoin(kj::mv(timeout))
        .then([this, alive](wire::schema::TargetSession::Client session) {
            if (alive.lock())
                onOpened(kj::mv(session));
        })
        .catch_([this, alive](kj::Exception&& failed) {
            if (alive.lock())
                drop("not reached");
            kj::throwRecoverableException(kj::mv(failed));
        });
}

auto TargetLink::onOpened(wire::schema::TargetSession::Client session) -> void
{
    session_ = kj::mv(session);
    forgetConnecting();
    lastActivityAt_ = now();
    const auto generation = ++generation_;
    auto pair = kj::newPromiseAndFulfiller<void>();
    lost_ = std::make_unique<Lost>(Lost { kj::mv(pair.fulfiller), pair.promise.fork() });
    loop_.spawn(connection_->closed().then([this, generation, alive = std::weak_ptr(alive_)] {
        if (alive.lock() && generation == generation_)
            drop("closed by the peer");
    }));
    scheduleHeartbeat();
}

auto TargetLink::probe() -> kj::Promise<void>
{
    auto alive = std::weak_ptr(alive_);
    const auto generation = generation_;
    auto answered = session_->heartbeatRequest().send().then(
        [this, alive, generation](auto&& answer) {
            if (!alive.lock() || generation != generation_)
                return;
            noteActivity();
            scheduleHeartbeat();
            onState_(answer.getState());
        },
        [this, alive, generation](kj::Exception&&) {
            if (alive.lock() && generation == generation_)
                drop("lost while idle");
        });
    auto timeout = loop_.sleep(probeTimeout).then([this, alive, generation] {
        if (alive.lock() && generation == generation_)
            drop("silent while idle");
    });
    return answered.exclusiveJoin(kj::mv(timeout));
}

auto TargetLink::scheduleHeartbeat() -> void
{
    const auto period = hasWaiters() ? heartbeatPeriod : idleHeartbeatPeriod;
    heartbeat_ = loop_.timers().after(period, [this] { sendHeartbeat(); });
}

auto TargetLink::whenLost() -> kj::Promise<void>
{
    if (!lost_)
        return kj::READY_NOW;
    if (waiters_++ == 0) {
        unansweredSince_ = {};
        scheduleHeartbeat();
    }
    return lost_->promise.addBranch().attach(kj::defer([this, alive = std::weak_ptr(alive_)] {
        if (!alive.lock())
            return;
        --waiters_;
        lastUsed_ = now();
    }));
}

auto TargetLink::sendHeartbeat() -> void
{
    // Silence is measured from the first heartbeat without an answer, since an idle session is quiet by design.
    const auto unanswered = unansweredSince_ > lastActivityAt_;
    if (unanswered && now() - unansweredSince_ > silenceLimit)
        return drop("silent");
    scheduleHeartbeat();
    // The chunks of a running answer already show that the target is alive, so no heartbeat is needed.
    if (now() - lastActivityAt_ < heartbeatPeriod)
        return;
    if (!unanswered)
        unansweredSince_ = now();
    auto alive = std::weak_ptr(alive_);
    loop_.spawn(session_->heartbeatRequest().send().then(
        [this, alive, generation = generation_](auto&& answer) {
            if (!alive.lock() || generation != generation_)
                return;
            noteActivity();
            onState_(answer.getState());
        },
        [](kj::Exception&&) {}));
}

auto TargetLink::forgetConnecting() -> void
{
    // The end of the connect may be what is on the stack. If its callers have given up, this is its last reference.
    if (connecting_)
        loop_.releaseLater(std::move(connecting_));
}

auto TargetLink::drop(const char* reason) -> void
{
    const auto wasOpen = session_.has_value();
    ++generation_;
    heartbeat_ = {};
    session_.reset();
    forgetConnecting();
    // One of the connection's functions may be on the stack.
    if (connection_)
        loop_.releaseLater(std::move(connection_));
    if (auto lost = std::exchange(lost_, nullptr))
        lost->fulfiller->fulfill();
    if (wasOpen)
        log::info("session lost", { { "step", "connect" }, { "peer", host_.target.str() }, { "reason", reason } });
}

} // namespace eelgrass::router
