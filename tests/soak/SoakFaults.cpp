// The part of Soak that draws faults, names versions, and mends all at the end.
#include "tests/soak/Soak.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>

namespace eelgrass::soak {

namespace {

using Json = nlohmann::json;
using Then = standins::ReplicaStandin::Behaviour::Then;

} // namespace

auto Soak::restart(Node& node, Duration after) -> void
{
    later(after, [this, &node] { startNode(node); });
}

/// With the end of what it wrote: a crash leaves its call stack there.
auto Soak::sayEnded(const std::string& what, Node& node) -> void
{
    constexpr auto most = std::size_t(4000);
    const auto log = node.process->log();
    broken_.push_back(what + ": " + node.name + ", exit " + std::to_string(node.process->exitCode()) + "\n"
        + log.substr(log.size() > most ? log.size() - most : 0));
}

auto Soak::kill(Node& node) -> void
{
    if (node.frozen || node.stopping || !node.process->running())
        return;
    note("kill " + node.role);
    disturbed(node);
    node.stopping = true;
    (void)node.process->end(SIGKILL);
    restart(node, soon(20, 400));
}

auto Soak::reload(Node& node) -> void
{
    note("reload " + node.role);
    node.process->signal(SIGHUP);
}

auto Soak::stop(Node& node) -> void
{
    note("stop " + node.role);
    node.stopping = true;
    node.stops.push_back(loop_.timers().now());
    node.process->signal(SIGTERM);
    later(grace() + 500ms, [this, &node] {
        if (node.process->running())
            broken_.push_back("a stop took longer than its time: " + node.name);
        (void)node.process->end(SIGKILL);
        if (node.process->exitCode() != 0)
            sayEnded("a stop ended badly", node);
        restart(node, 10ms);
    });
}

auto Soak::faultOnNode(Node& node) -> void
{
    // One at a time on a process; several processes at once.
    if (!node.process || node.frozen || node.stopping)
        return;
    if (!node.process->running()) {
        sayEnded("a process ended by itself", node);
        return restart(node, 0ms);
    }
    disturbed(node);
    switch (number(0, 3)) {
    case 0:
        return kill(node);
    case 1: {
        note("freeze " + node.role);
        node.frozen = true;
        node.process->signal(SIGSTOP);
        return later(soon(50, 1800), [this, &node] {
            node.process->signal(SIGCONT);
            node.frozen = false;
            disturbed(node);
        });
    }
    case 2:
        return reload(node);
    default:
        return stop(node);
    }
}

auto Soak::onStoreLegs(const nlohmann::json& faults) -> void
{
    for (auto* nodes : { &agents_, &gateways_ }) {
        for (auto& node : *nodes)
            node.store->apply(faults);
    }
}

auto Soak::faultOnStore() -> void
{
    storeDisturbances_.push_back(loop_.timers().now());
    switch (number(0, 4)) {
    case 0:
        note("store refuses");
        store_.refuseWith(503);
        return later(soon(100, 2500), [this] { store_.refuseWith(0); });
    case 1:
        note("store is down");
        onStoreLegs({ { "cut", true }, { "refuse", true } });
        return later(soon(100, 2500), [this] { onStoreLegs({ { "refuse", false } }); });
    case 2:
        note("store loses an answer");
        return store_.loseNextWrite();
    case 3:
        note("store forgets its history");
        return store_.forgetHistory();
    default:
        note("configuration");
        configure();
    }
}

auto Soak::faultOnEngine(Engine& engine) -> void
{
    auto behaviour = usual_;
    switch (number(0, 6)) {
    case 0:
        note("replica breaks off");
        behaviour.then = Then::Reset;
        behaviour.sent = static_cast<std::uint64_t>(number(0, 4));
        break;
    case 1:
        note("replica falls silent");
        behaviour.then = Then::Silence;
        behaviour.sent = static_cast<std::uint64_t>(number(0, 4));
        break;
    case 2:
        note("replica fails");
        behaviour.status = 500;
        break;
    case 3:
        note("replica is full");
        behaviour.status = 503;
        behaviour.notRun = true;
        break;
    case 4:
        note("an answer too many");
        behaviour.strangerFirst = true;
        break;
    case 5:
        note("orders are carried out late");
        behaviour.loseOrders = true;
        break;
    default:
        note("replica starts anew");
        return restartEngine(engine);
    }
    behaveFor(engine, behaviour, soon(50, 900));
}

auto Soak::behaveFor(Engine& engine, const standins::ReplicaStandin::Behaviour& behaviour, Duration time) -> void
{
    engine.replica->behave(behaviour);
    later(time, [this, &engine] {
        engine.replica->behave(usual_);
        engine.replica->carryOutLost();
    });
}

auto Soak::restartEngine(Engine& engine) -> void
{
    const auto now = loop_.timers().now();
    if (!engine.served.back().until)
        engine.served.back().until = now;
    engine.replica->restart(engine.replica->instance().substr(0, 8) + "-" + std::to_string(++engine.starts));
    engine.served.push_back({ engine.replica->software(), now });
    publish();
}

auto Soak::faultOnLeg(standins::FaultProxy& proxy, const std::string& leg) -> void
{
    switch (number(0, 3)) {
    case 0:
        note("cut " + leg);
        return proxy.apply({ { "cut", true } });
    case 1:
        note("half-open " + leg);
        return proxy.apply({ { "half_open", true } });
    case 2:
        note("silent " + leg);
        proxy.apply({ { "silent", std::array { "up", "down", "both" }.at(static_cast<std::size_t>(number(0, 2))) } });
        return later(soon(50, 1500), [&proxy] { proxy.apply({ { "silent", "none" } }); });
    default:
        note("slow " + leg);
        proxy.apply({ { "delay_ms", number(5, 120) } });
        later(soon(100, 1200), [&proxy] { proxy.apply({ { "delay_ms", 0 } }); });
    }
}

auto Soak::fault() -> void
{
    switch (number(0, 6)) {
    case 0:
        return faultOnNode(any(gateways_));
    case 1:
        return faultOnNode(any(agents_));
    case 2:
        return faultOnStore();
    case 3:
        return faultOnEngine(any(engines_));
    case 4: {
        auto& engine = any(engines_);
        engine.disturbances.push_back(loop_.timers().now());
        return faultOnLeg(*engine.leg, "replica");
    }
    case 5:
        return faultOnLeg(*any(engines_).session, "agent");
    default:
        return faultOnStoreLeg(chance(0.5) ? any(gateways_) : any(agents_));
    }
}

auto Soak::faultOnStoreLeg(Node& node) -> void
{
    node.storeDisturbances.push_back(loop_.timers().now());
    faultOnLeg(*node.store, "store");
}

auto Soak::faultBesideVersions() -> void
{
    const auto kind = number(0, 19);
    if (kind < 6)
        return faultOnNode(any(agents_));
    if (kind < 10)
        return faultOnLeg(*any(engines_).session, "agent");
    if (kind < 12)
        return faultOnEngine(any(engines_));
    if (kind < 14) {
        note("replica begins late");
        return behaveFor(any(engines_),
            { .beginsAfter = soon(50, 900), .runsFor = soon(20, 200), .runsWhileReplacing = chance(0.5) },
            soon(200, 1500));
    }
    if (kind < 16)
        return faultOnLeg(*any(engines_).leg, "replica");
    if (kind < 17)
        return faultOnStoreLeg(any(agents_));
    if (kind < 18) {
        note("store forgets its history");
        return store_.forgetHistory();
    }
    if (kind < 19)
        return faultOnNode(any(gateways_));
    faultOnStoreLeg(any(gateways_));
}

auto Soak::nameVersions() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    note("version");
    const auto adapter = "a" + std::to_string(1 + versionRandom_() % 2);
    auto& versions = named_[adapter];
    const auto version = (versions.empty() ? 1 : versions.back().version) + 1 + versionRandom_() % 3;
    for (const auto& engine : engines_)
        engine.replica->nameVersion(adapter, version);
    putRow("op", "version/base." + adapter,
        Json { { "model", "base" }, { "adapter", adapter }, { "version", version } }.dump());
    versions.push_back({ loop_.timers().now(), version });
    return loop_.sleep(std::chrono::milliseconds(500 + versionRandom_() % 4000)).then([this] {
        return nameVersions();
    });
}

auto Soak::replicas() const -> std::vector<standins::ReplicaStandin*>
{
    auto list = std::vector<standins::ReplicaStandin*>();
    for (const auto& engine : engines_)
        list.push_back(engine.replica.get());
    for (const auto& replica : plain_)
        list.push_back(replica.get());
    return list;
}

auto Soak::announceLimit(standins::ReplicaStandin& replica) -> void
{
    static constexpr auto limits = std::array { "1", "0.5", "4", "" };
    // Requests are to run, under a permit now and then.
    static constexpr auto wideLimits = std::array { "20", "", "", "" };
    note("rate limit");
    replica.announceLimit(
        (size_.namesVersions || size_.releases ? wideLimits : limits).at(limitRandom_() % limits.size()));
}

/// Limits last longer than the time within which they have to hold, so that most of them are judged.
auto Soak::announceLimits() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    const auto all = replicas();
    announceLimit(*all.at(limitRandom_() % all.size()));
    const auto pause = std::chrono::milliseconds(100 + limitRandom_() % 700);
    return loop_.sleep(pause).then([this] { return announceLimits(); });
}

/// A replica that leaves keeps saying so; its next start comes a while later.
auto Soak::leave(std::size_t engine) -> void
{
    auto& leaving = engines_.at(engine);
    if (leaving.replica->leaving())
        return;
    note("replica leaves");
    leaving.replica->announceLeaving();
    later(4500ms, [this, &leaving] {
        if (leaving.replica->leaving())
            restartEngine(leaving);
    });
}

auto Soak::announceAvailability() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    static constexpr auto rests = std::array { "0.4", "1.5", "2.25", "soon" };
    const auto all = replicas();
    auto* replica = all.at(availabilityRandom_() % all.size());
    constexpr auto timesToLeave = 12U;
    if (availabilityRandom_() % timesToLeave == 0) {
        leave(availabilityRandom_() % engines_.size());
    } else {
        note("replica asks for rest");
        replica->askForRest(rests.at(availabilityRandom_() % rests.size()));
        later(std::chrono::milliseconds(50 + availabilityRandom_() % 600), [replica] { replica->askForRest({}); });
    }
    const auto pause = std::chrono::milliseconds(100 + availabilityRandom_() % 900);
    return loop_.sleep(pause).then([this] { return announceAvailability(); });
}

/// A fault of the kind of run.
auto Soak::drawFault() -> void
{
    if (size_.namesVersions)
        return faultBesideVersions();
    if (size_.releases)
        return faultBesideReleases();
    if (size_.keys)
        return faultBesideKeys();
    if (size_.pauses)
        return faultBesidePauses();
    size_.retries ? faultBesideRetries() : fault();
}

/// Single faults, and now and then several at the same moment.
auto Soak::disturb() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    const auto many = chance(0.15) ? number(2, 5) : 1;
    for (auto count = 0; count < many; ++count)
        drawFault();
    const auto calmer = size_.namesVersions || size_.releases;
    const auto pause = size_.retries || size_.keys || size_.pauses ? soon(300, 1200)
        : calmer                                                   ? soon(100, 600)
                                                                   : soon(30, 350);
    return loop_.sleep(pause).then([this] { return disturb(); });
}

auto Soak::mendAll() -> void
{
    steps_.clear();
    store_.refuseWith(0);
    if (std::exchange(storeSuspended_, false))
        storeProcess_->process().signal(SIGCONT);
    for (auto* replica : replicas()) {
        replica->announceLimit({});
        replica->askForRest({});
    }
    for (auto& engine : engines_) {
        if (engine.replica->leaving() || engine.replica->ended())
            restartEngine(engine);
    }
    for (const auto& replica : plain_)
        replica->behave(usual_);
    const auto mended
        = Json { { "silent", "none" }, { "delay_ms", 0 }, { "refuse", false }, { "freeze", false }, { "cut", true } };
    for (const auto& leg : plainLegs_)
        leg->apply(mended);
    for (auto& engine : engines_) {
        engine.replica->behave(usual_);
        engine.replica->carryOutLost();
        engine.leg->apply(mended);
        engine.session->apply(mended);
    }
    for (auto* nodes : { &agents_, &gateways_ }) {
        for (auto& node : *nodes) {
            node.store->apply(mended);
            if (node.frozen)
                node.process->signal(SIGCONT);
            node.frozen = false;
            if (!node.stopping && node.process->running())
                continue;
            if (!node.stopping)
                sayEnded("a process ended by itself", node);
            (void)node.process->end(SIGKILL);
            restart(node, 0ms);
        }
    }
    publish();
    configure();
}

} // namespace eelgrass::soak
