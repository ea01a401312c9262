#include "router/entry/TargetLink.h"

#include "base/Log.h"

namespace eelgrass::router {

namespace {

constexpr auto heartbeatPeriod = Duration(1s);
// Three missed heartbeats: fewer would drop sessions of a process that is merely busy, more would leave callers in
// silence on a connection that something in between has forgotten.
constexpr auto silenceLimit = Duration(3s);
constexpr auto connectLimit = Duration(2s);

} // namespace

/// Takes what the target process pushes.
class TargetLink::Listener final : public wire::schema::EntryListener::Server {
public:
    Listener(TargetLink& link, std::weak_ptr<char> alive)
        : link_(link)
        , alive_(std::move(alive))
    {
    }

    auto targetChanged(TargetChangedContext context) -> kj::Promise<void> override
    {
        if (alive_.lock())
            link_.onState_(context.getParams().getState());
        return kj::READY_NOW;
    }

    auto ping(PingContext) -> kj::Promise<void> override
    {
        // A link that gave this session up does not vouch for it.
        KJ_REQUIRE(!alive_.expired(), "this session is over");
        return kj::READY_NOW;
    }

private:
    TargetLink& link_;
    std::weak_ptr<char> alive_;
};

TargetLink::TargetLink(
    wire::MainLoop& loop, platform::HostRecord host, std::string secret, std::string name, OnState onState)
    : loop_(loop)
    , host_(std::move(host))
    , secret_(std::move(secret))
    , name_(std::move(name))
    , onState_(std::move(onState))
{
}

TargetLink::~TargetLink() { drop("closed"); }

auto TargetLink::session() -> kj::Promise<wire::schema::TargetSession::Client>
{
    lastUsed_ = now();
    if (session_)
        return *session_;
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
                           // The first heartbeat brings the target's epoch, without which no start is accepted.
                           auto first = session.heartbeatRequest().send();
                           return first.then([this, alive, session = kj::mv(session)](auto&& answer) mutable {
                               if (alive.lock())
                                   onState_(answer.getState());
                               return kj::mv(session);
                           });
                       });
    auto timeout = loop_.sleep(connectLimit).then([]() -> wire::schema::TargetSession::Client {
        KJ_FAIL_REQUIRE("connecting took too long");
    });
    return entered.exclusiveJoin(kj::mv(timeout))
        .then([this, alive](wire::schema::TargetSession::Client session) {
            if (alive.lock())
                opened(kj::mv(session));
        })
        .catch_([this, alive](kj::Exception&& failed) {
            if (alive.lock())
                drop("not reached");
            kj::throwRecoverableException(kj::mv(failed));
        });
}

auto TargetLink::opened(wire::schema::TargetSession::Client session) -> void
{
    session_ = kj::mv(session);
    connecting_.reset();
    heardAt_ = now();
    const auto generation = ++generation_;
    auto pair = kj::newPromiseAndFulfiller<void>();
    lost_ = std::make_unique<Lost>(Lost { kj::mv(pair.fulfiller), pair.promise.fork() });
    loop_.spawn(connection_->closed().then([this, generation, alive = std::weak_ptr(alive_)] {
        if (alive.lock() && generation == generation_)
            drop("closed by the peer");
    }));
    heartbeat_ = loop_.timers().every(heartbeatPeriod, [this] { beat(); });
}

auto TargetLink::whenLost() -> kj::Promise<void>
{
    if (!lost_)
        return kj::READY_NOW;
    return lost_->promise.addBranch();
}

auto TargetLink::beat() -> void
{
    if (now() - heardAt_ > silenceLimit)
        return drop("silent");
    auto alive = std::weak_ptr(alive_);
    loop_.spawn(session_->heartbeatRequest().send().then(
        [this, alive, generation = generation_](auto&& answer) {
            if (!alive.lock() || generation != generation_)
                return;
            heardAt_ = now();
            onState_(answer.getState());
        },
        [](kj::Exception&&) {}));
}

auto TargetLink::drop(const char* reason) -> void
{
    const auto wasOpen = session_.has_value();
    ++generation_;
    heartbeat_ = {};
    session_.reset();
    connecting_.reset();
    if (auto connection = std::exchange(connection_, nullptr)) {
        // Freed in a later turn: the connection may be on the stack.
        auto held = std::make_shared<std::unique_ptr<wire::Connection>>(std::move(connection));
        loop_.spawn(kj::evalLater([] {}).then([] { return kj::evalLater([] {}); }).attach(kj::heap(kj::mv(held))));
    }
    if (auto lost = std::exchange(lost_, nullptr))
        lost->fulfiller->fulfill();
    if (wasOpen)
        log::info("session lost", { { "step", "connect" }, { "peer", host_.target.str() }, { "reason", reason } });
}

} // namespace eelgrass::router
