#include "serving/ReplicaAvailability.h"

#include "decisions/Rendezvous.h"
#include "serving/AvailabilityRecord.h"

#include <limits>

namespace eelgrass::serving {

namespace {

using decisions::RequestedRest;

constexpr auto restGauge = "eelgrass_replica_at_rest";
constexpr auto leavingGauge = "eelgrass_replica_leaving";
// Source in log lines of what an answer to this entry has said.
constexpr auto fromAnswer = std::string_view("answer");

/// Places this host among those that rest together at a replica, from 0 to 1.
auto positionOf(std::uint64_t host, const Replica& replica) -> double
{
    return static_cast<double>(decisions::rendezvousScore(replica.idHash(), host))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

ReplicaAvailability::ReplicaAvailability(
    wire::MainLoop& loop, ReplicaDirectory& directory, router::Metrics& metrics, const HostSettings& host)
    : loop_(loop)
    , directory_(directory)
    , metrics_(metrics)
    , address_(host.address)
    , hostHash_(decisions::nameHash(host.name))
{
}

auto ReplicaAvailability::observe(Replica& replica, const hosting::AnswerMetadata& answer, std::size_t hosts) -> void
{
    // Another instance at the address says nothing about this one. A misdirected request may be the replica's own word,
    // for example on an adapter that it does not hold.
    const auto fromOther = answer.instance.empty() ? answer.otherInstance : answer.instance != replica.id();
    if (fromOther)
        return;
    const auto& said = answer.availability;
    recordInvalidAvailability(replica.id(), said);
    if (said.rest)
        applyRest(replica, *said.rest, hosts, fromAnswer);
    if (said.leaving)
        applyLeaving(replica, fromAnswer);
}

auto ReplicaAvailability::applyRest(Replica& replica, Duration length, std::size_t hosts, std::string_view source)
    -> void
{
    const auto now = loop_.timers().now();
    const auto extended = replica.rest().resting(now);
    const auto delay = RequestedRest::startDelay(length, hosts, positionOf(hostHash_, replica));
    if (!replica.noteRest(length, delay, now))
        return;
    recordRest(replica.id(), *replica.rest().end() - now, extended, source);
    metrics_.count("eelgrass_replica_rests_total", {});
    metrics_.set(restGauge, { { "replica", replica.id().str() } }, 1);
    rests_[replica.id()] = { replica.record().start, now };
    if (source == fromAnswer && sharesHost(replica))
        replica.agent()->noteHostRest(replica.record().start, *replica.rest().end() - now);
}

auto ReplicaAvailability::sharesHost(const Replica& replica) const -> bool
{
    return replica.agent() && replica.agent()->endpoint().address == address_;
}

auto ReplicaAvailability::applyPublished(Replica& replica) -> void
{
    const auto& state = replica.agent()->state();
    if (!sameStart(state.start, replica.record().start))
        return;
    const auto source = replica.agent()->endpoint().str();
    if (state.leaving)
        applyLeaving(replica, source);
    // Of one host there is no herd.
    if (sharesHost(replica))
        applyRest(replica, state.hostRestUntil - loop_.timers().now(), 1, source);
}

auto ReplicaAvailability::applyLeaving(Replica& replica, std::string_view source) -> void
{
    if (replica.announced().leaving)
        return;
    directory_.markLeaving(replica, source, Duration(0));
    replica.noteLeaving();
    const auto heardHere = source == fromAnswer;
    if (replica.agent() && heardHere)
        replica.agent()->noteLeaving(replica.record().start);
    metrics_.count("eelgrass_replica_leavings_total", { { "source", heardHere ? "answer" : "agent" } });
    metrics_.set(leavingGauge, { { "replica", replica.id().str() } }, 1);
    leaving_[replica.id()] = replica.record().start;
}

auto ReplicaAvailability::find(const ReplicaStart& start) const -> const Replica*
{
    const auto found = directory_.all().find(start.instance);
    const auto known = found != directory_.all().end() && sameStart(found->second->record().start, start);
    return known ? found->second.get() : nullptr;
}

auto ReplicaAvailability::forgetEnded() -> void
{
    const auto now = loop_.timers().now();
    std::erase_if(rests_, [&](const auto& entry) {
        const auto& [id, rest] = entry;
        const auto* replica = find(rest.start);
        if (replica && replica->rest().resting(now))
            return false;
        recordRestEnd(id, now - rest.askedAt, replica ? "over" : "replica removed");
        metrics_.unset(restGauge, { { "replica", id.str() } });
        return true;
    });
    std::erase_if(leaving_, [&](const auto& entry) {
        const auto gone = !find(entry.second);
        if (gone)
            metrics_.unset(leavingGauge, { { "replica", entry.first.str() } });
        return gone;
    });
}

auto ReplicaAvailability::retryAfter(Moment end, std::uint32_t priority) -> milliseconds
{
    const auto now = loop_.timers().now();
    return std::chrono::ceil<milliseconds>(std::max(end - now, Duration(0)) + returns_.next(priority, end, now));
}

auto ReplicaAvailability::countSend(const Replica& replica) -> void
{
    if (replica.rest().resting(loop_.timers().now()))
        metrics_.count("eelgrass_sends_to_resting_total", {});
}

} // namespace eelgrass::serving
