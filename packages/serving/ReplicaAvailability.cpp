#include "serving/ReplicaAvailability.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <limits>

namespace eelgrass::serving {

namespace {

using decisions::RequestedRest;

constexpr auto gauge = "eelgrass_replica_at_rest";

auto millisecondsText(Duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

/// Places this host among those that rest together at a replica, from 0 to 1.
auto positionOf(std::uint64_t host, const Replica& replica) -> double
{
    return static_cast<double>(decisions::rendezvousScore(replica.idHash(), host))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

ReplicaAvailability::ReplicaAvailability(wire::MainLoop& loop, router::Metrics& metrics, const std::string& host)
    : loop_(loop)
    , metrics_(metrics)
    , hostHash_(decisions::nameHash(host))
{
}

auto ReplicaAvailability::observe(Replica& replica, const hosting::AnswerMetadata& answer, std::size_t hosts) -> void
{
    // Another instance at the address says nothing about this one.
    if (answer.otherInstance || (!answer.instance.empty() && answer.instance != replica.id()))
        return;
    const auto& said = answer.availability;
    reportInvalid(replica, said);
    if (said.rest)
        applyRest(replica, *said.rest, hosts, "answer");
    if (said.leaving && !replica.leaving())
        log::info("replica says that it leaves", { { "replica", replica.id().str() }, { "source", "answer" } });
}

auto ReplicaAvailability::reportInvalid(const Replica& replica, const hosting::AvailabilityStatement& said) const
    -> void
{
    const auto tooLong = said.rest && *said.rest > RequestedRest::maxRest;
    const auto problem = tooLong ? std::string_view("longer than is granted") : said.restProblem;
    if (!problem.empty())
        log::warn("replica rest invalid",
            { { "replica", replica.id().str() }, { "reason", std::string(problem) },
                { "rest_ms", said.rest ? millisecondsText(std::min(*said.rest, RequestedRest::maxRest)) : "" } });
    if (said.leavingInvalid)
        log::warn("replica leaving invalid", { { "replica", replica.id().str() } });
}

auto ReplicaAvailability::applyRest(Replica& replica, Duration length, std::size_t hosts, std::string_view source)
    -> void
{
    const auto now = loop_.timers().now();
    const auto extended = replica.rest().resting(now);
    const auto delay = RequestedRest::startDelay(length, hosts, positionOf(hostHash_, replica));
    if (!replica.askForRest(length, delay, now))
        return;
    const auto id = replica.id();
    const auto left = *replica.rest().end() - now;
    log::info(extended ? "replica rest extended" : "replica rest requested",
        { { "replica", id.str() }, { "rest_ms", millisecondsText(left) }, { "source", std::string(source) } });
    metrics_.count("eelgrass_replica_rests_total", { { "source", std::string(source) } });
    metrics_.set(gauge, { { "replica", id.str() } }, 1);
    ends_[id] = loop_.timers().after(left, [this, id, asked = now] {
        log::info("replica rest ended",
            { { "replica", id.str() }, { "age_ms", millisecondsText(loop_.timers().now() - asked) } });
        metrics_.unset(gauge, { { "replica", id.str() } });
        // Destroys this callback.
        ends_.erase(id);
    });
}

auto ReplicaAvailability::countWithheld(const Replica& replica) -> void
{
    metrics_.count("eelgrass_sends_withheld_total", { { "reason", replica.leaving() ? "leaving" : "rest" } });
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
