#include "tests/harness/StopTraffic.h"

#include "base/DurationText.h"

#include <algorithm>
#include <set>

namespace eelgrass::tests {

namespace {

// A request that crosses the close of its connection ends within this.
constexpr auto crossing = Duration(200ms);
// An early stream may be broken off if it is at work in the last sixth of the grace period.
constexpr auto earlyTime = Duration(3s);
constexpr auto lastPart = 6;
// A run that goes on elsewhere has ended at its replica within this.
constexpr auto overlap = Duration(400ms);
constexpr auto pollTime = Duration(5ms);

auto isStream(const RawCall& call) -> bool { return call.path == "/whole/x" || call.path == "/resumable/x"; }

auto promisesNotRun(int status) -> bool { return status == 503 || status == 429 || status == 421 || status == 408; }

auto mostRuns(const RawCall& call) -> std::size_t
{
    return call.path == "/safe/x" || call.path == "/resumable/x" ? 2 : 1;
}

} // namespace

StopTraffic::StopTraffic(GatewayProcess& world, std::vector<standins::ReplicaStandin*> replicas, Duration routeTime)
    : world_(world)
    , replicas_(std::move(replicas))
    , routeTime_(routeTime)
    , noter_(world.loop().timers().every(pollTime, [this] { noteEnds(); }))
{
    addGateway(world.process());
}

auto StopTraffic::addGateway(Process& process) -> std::size_t
{
    gateways_.push_back({ .process = &process });
    return gateways_.size() - 1;
}

auto StopTraffic::noteEnds() -> void
{
    for (auto& client : connections_) {
        if (client.endedAt == Moment() && client.caller->ended())
            client.endedAt = world_.loop().timers().now();
    }
}

auto StopTraffic::open(std::size_t gateway) -> Connection
{
    connections_.push_back(
        { .caller = std::make_unique<ByteCaller>(gateways_.at(gateway).process->listeningPort()), .gateway = gateway });
    return connections_.size() - 1;
}

auto StopTraffic::send(Connection connection, RawCall call, std::size_t heldBack) -> void
{
    auto& client = connections_.at(connection);
    call.attempt = "attempt-" + std::to_string(++asked_);
    const auto text = call.text();
    client.heldBack = text.substr(text.size() - heldBack);
    const auto now = world_.loop().timers().now();
    client.requests.push_back({ call, now, now, heldBack == 0 });
    client.caller->send(text.substr(0, text.size() - heldBack));
}

auto StopTraffic::complete(Connection connection) -> void
{
    auto& client = connections_.at(connection);
    client.requests.back().sentAt = world_.loop().timers().now();
    client.requests.back().whole = true;
    client.caller->send(std::exchange(client.heldBack, {}));
}

auto StopTraffic::ask(const RawCall& call, std::size_t gateway) -> Connection
{
    const auto connection = open(gateway);
    send(connection, call);
    return connection;
}

auto StopTraffic::openKept(std::size_t count, std::size_t gateway) -> std::vector<Connection>
{
    auto kept = std::vector<Connection>();
    for (auto index = std::size_t(0); index < count; ++index)
        kept.push_back(ask({ .path = "/safe/x" }, gateway));
    world_.until([&] {
        return std::all_of(kept.begin(), kept.end(), [&](Connection connection) {
            const auto answers = caller(connection).answers();
            return !answers.empty() && answers.front().whole;
        });
    });
    return kept;
}

auto StopTraffic::at(Duration afterStop, std::function<void()> step) -> void
{
    planned_.emplace_back(afterStop, std::move(step));
    ++stepsLeft_;
}

auto StopTraffic::stop(std::size_t gateway) -> void
{
    auto& stopped = gateways_.at(gateway);
    stopped.process->signal(SIGTERM);
    stopped.stoppedAt = world_.loop().timers().now();
    stopped.killer = world_.loop().timers().after(
        Duration(world_.gracePeriod()), [process = stopped.process] { process->signal(SIGKILL); });
    for (auto& [time, step] : std::exchange(planned_, {})) {
        steps_.push_back(world_.loop().timers().after(time, [this, step = std::move(step)] {
            --stepsLeft_;
            step();
        }));
    }
}

auto StopTraffic::finish() -> void
{
    world_.until([&] {
        return stepsLeft_ == 0 && std::all_of(gateways_.begin(), gateways_.end(), [](const Gateway& gateway) {
            return !gateway.stoppedAt || !gateway.process->running();
        });
    });
    world_.until([&] {
        return std::all_of(connections_.begin(), connections_.end(),
            [&](const Client& client) { return client.endedAt != Moment() || !gateways_[client.gateway].stoppedAt; });
    });
    for (auto& gateway : gateways_)
        gateway.killer.cancel();
}

auto StopTraffic::runsOf(const std::string& attempt) const -> Runs
{
    auto found = Runs();
    for (const auto* replica : replicas_) {
        const auto& runs = replica->runs();
        std::copy_if(runs.begin(), runs.end(), std::back_inserter(found),
            [&](const auto& run) { return run.attempt == attempt; });
    }
    std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    return found;
}

auto StopTraffic::arrived(const std::string& attempt) const -> bool
{
    return std::any_of(replicas_.begin(), replicas_.end(), [&](const auto* replica) {
        const auto& arrivals = replica->arrivals();
        return std::any_of(
            arrivals.begin(), arrivals.end(), [&](const auto& arrival) { return arrival.attempt == attempt; });
    });
}

auto StopTraffic::wasRead(const Client& client, const Request& request) -> bool
{
    const auto logged = gateways_[client.gateway].process->log().find('"' + request.call.attempt + '"');
    return request.whole
        && (arrived(request.call.attempt) || logged != std::string::npos || client.endedAt - request.sentAt > crossing);
}

auto StopTraffic::mayHaveNoAnswer(const Client& client, const Request& request, const Runs& runs) const -> bool
{
    const auto time = std::min(routeTime_, Duration(std::chrono::milliseconds(request.call.deadlineMs)));
    if (client.endedAt - request.begunAt >= time)
        return true;
    const auto& stopped = gateways_[client.gateway].stoppedAt;
    if (!stopped || !isStream(request.call) || request.sentAt > *stopped + earlyTime)
        return false;
    const auto lastPartAt = *stopped + Duration(world_.gracePeriod()) * (lastPart - 1) / lastPart;
    return client.endedAt >= lastPartAt && std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
        return !run.endedAt || *run.endedAt >= lastPartAt;
    });
}

auto StopTraffic::faultOfRuns(const Request& request, const Runs& runs) -> std::string
{
    if (runs.size() > mostRuns(request.call))
        return "ran too often";
    for (auto index = std::size_t(1); index < runs.size(); ++index) {
        const auto& before = runs[index - 1];
        if (!before.endedAt || *before.endedAt > runs[index].at + overlap)
            return "ran at two replicas at once";
    }
    const auto changed
        = [&](const auto& run) { return run.target != request.call.path || run.body != request.call.body; };
    return std::any_of(runs.begin(), runs.end(), changed) ? "ran with other content" : "";
}

auto StopTraffic::faultOf(const Client& client, std::size_t index, const std::vector<ReceivedAnswer>& answers)
    -> std::string
{
    const auto& request = client.requests[index];
    const auto runs = runsOf(request.call.attempt);
    if (auto fault = faultOfRuns(request, runs); !fault.empty())
        return fault;
    if (index < answers.size() && answers[index].whole) {
        const auto& answer = answers[index];
        if (promisesNotRun(answer.status) && !runs.empty())
            return "refused and has run";
        if (answer.status == 200 && runs.empty())
            return "an answer that is nobody's";
        return {};
    }
    // What a client sends after an answer that announced the close is not read.
    const auto closeAnnounced = std::any_of(answers.begin(), answers.end(),
        [](const auto& answer) { return answer.whole && answer.fields.get("Connection") == "close"; });
    if (!wasRead(client, request) || (closeAnnounced && !arrived(request.call.attempt)))
        return {};
    return mayHaveNoAnswer(client, request, runs) ? "" : "no complete answer";
}

auto StopTraffic::story(const Client& client, const Request& request) const -> std::string
{
    const auto& gateway = gateways_[client.gateway];
    const auto since
        = [&](Moment moment) { return gateway.stoppedAt ? millisecondsText(moment - *gateway.stoppedAt) : "?"; };
    auto text = request.call.attempt + " " + request.call.path + " at " + gateway.process->name() + " sent "
        + since(request.sentAt) + " ms after SIGTERM, connection ended "
        + (client.endedAt == Moment() ? "never" : since(client.endedAt)) + ", received "
        + std::to_string(client.caller->received().size()) + " bytes";
    for (const auto& run : runsOf(request.call.attempt))
        text += ", run from " + since(run.at) + " to " + (run.endedAt ? since(*run.endedAt) : "?");
    const auto log = gateway.process->log();
    const auto id = '"' + request.call.attempt + '"';
    for (auto at = log.find(id); at != std::string::npos; at = log.find(id, at)) {
        const auto begin = log.rfind('\n', at) + 1;
        at = std::min(log.find('\n', at), log.size());
        text += "\n  " + log.substr(begin, at - begin);
    }
    return text;
}

auto StopTraffic::unasked() const -> std::vector<std::string>
{
    auto asked = std::set<std::string> { "first" };
    for (const auto& client : connections_) {
        for (const auto& request : client.requests) {
            if (request.whole)
                asked.insert(request.call.attempt);
        }
    }
    auto found = std::vector<std::string>();
    for (const auto* replica : replicas_) {
        for (const auto& arrival : replica->arrivals()) {
            if (!asked.contains(arrival.attempt))
                found.push_back("nobody asked for it: " + arrival.attempt + " at " + replica->instance());
        }
    }
    return found;
}

auto StopTraffic::violations() -> std::vector<std::string>
{
    auto found = unasked();
    for (const auto& client : connections_) {
        const auto answers = client.caller->answers();
        for (auto index = std::size_t(0); index < client.requests.size(); ++index) {
            if (const auto fault = faultOf(client, index, answers); !fault.empty())
                found.push_back(fault + ": " + story(client, client.requests[index]));
        }
    }
    return found;
}

auto StopTraffic::ends() -> std::map<std::string, int>
{
    auto counts = std::map<std::string, int>();
    for (const auto& client : connections_) {
        const auto answers = client.caller->answers();
        for (auto index = std::size_t(0); index < client.requests.size(); ++index) {
            const auto whole = index < answers.size() && answers[index].whole;
            const auto* without = wasRead(client, client.requests[index]) ? "broken off" : "not read";
            ++counts[whole ? std::to_string(answers[index].status) : without];
        }
    }
    return counts;
}

auto StopTraffic::answersOf(Connection connection) -> std::vector<ReceivedAnswer>
{
    return caller(connection).answers();
}

} // namespace eelgrass::tests
