#include "standins/ReplicaStandin.h"

#include "platform/Names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace eelgrass::standins {

namespace {

using Json = nlohmann::json;
namespace names = hosting::names;

constexpr auto base = "base";
constexpr auto misdirected = 421;
constexpr auto unavailable = 503;

auto adapterOf(const wire::HttpRequestMessage& request) -> std::string
{
    const auto model = std::string(request.fields.get(names::model));
    const auto slash = model.find('/');
    return slash == std::string::npos ? std::string() : model.substr(slash + 1);
}

} // namespace

auto streamEvent(std::uint64_t number, const std::string& software) -> std::string
{
    const auto text = std::to_string(number);
    return "id: " + text + "\ndata: " + text + " " + software + "\n\n";
}

auto streamEvents(std::uint64_t first, std::uint64_t last, const std::string& software) -> std::string
{
    auto text = std::string();
    for (auto number = first; number <= last; ++number)
        text += streamEvent(number, software);
    return text;
}

ReplicaStandin::ReplicaStandin(
    TimerService& timers, const std::string& address, std::string instance, std::string service)
    : timers_(timers)
    , address_(address)
    , instance_(std::move(instance))
    , service_(std::move(service))
    , server_(timers, address, 0, [this](const Caller& caller, wire::HttpRequestMessage request) {
        unlessPaused([this, caller, request = std::move(request)] { handle(caller, request); });
    })
{
}

auto ReplicaStandin::pauseFor(Duration length) -> void
{
    paused_ = true;
    pauseTimer_ = timers_.after(length, [this] { resume(); });
}

auto ReplicaStandin::resume() -> void
{
    paused_ = false;
    for (const auto& step : std::exchange(heldSteps_, {}))
        step();
}

auto ReplicaStandin::unlessPaused(std::function<void()> step) -> void
{
    if (paused_)
        heldSteps_.push_back(std::move(step));
    else
        step();
}

auto ReplicaStandin::adapterNames() const -> std::vector<std::string>
{
    auto list = std::vector<std::string>();
    for (const auto& [name, version] : adapters_)
        list.push_back(name + "@" + std::to_string(version));
    return list;
}

auto ReplicaStandin::entry(const std::string& state) const -> std::string
{
    auto models = Json::array();
    if (hasModel_)
        models.push_back({ { "name", base }, { "version", 1 }, { "adapters", adapterNames() } });
    auto entry = Json { { "service", service_ }, { "address", endpoint().str() }, { "zone", "zone-1" }, { "slots", 8 },
        { "state", state }, { "models", models }, { "sequence", sequence_ } };
    if (tellsBirth_)
        entry["born"] = born_;
    if (!software_.empty())
        entry["version"] = software_;
    return entry.dump();
}

auto ReplicaStandin::restart(const std::string& instance) -> void
{
    instance_ = instance;
    startedAt_ = timers_.now();
    adapters_.clear();
    waitingOrders_.clear();
    running_.clear();
    prompts_ = {};
    timersOfRuns_.clear();
    pauseTimer_.cancel();
    paused_ = false;
    heldSteps_.clear();
    sequence_ = 0;
    highestFence_ = 0;
    hasModel_ = false;
    announcements_.push_back({ timers_.now(), {}, {} });
    leaving_ = false;
    ++born_;
    if (!std::exchange(over_, false))
        server_.resetAll();
    server_.open();
}

auto ReplicaStandin::Crash::isUnder(const wire::HttpRequestMessage& request) const -> bool
{
    if ((!body.empty() && request.body == body) || (!model.empty() && request.fields.get(names::model) == model))
        return true;
    const auto prompt = "," + std::string(request.fields.get(names::promptPrefix));
    const auto last = prompt.rfind(',');
    const auto found = prompt.find("," + part + ":");
    return !part.empty() && found != std::string::npos && found < last;
}

auto ReplicaStandin::crashUnder(Crash crash, std::function<void()> onCrash) -> void
{
    crash_ = std::move(crash);
    onCrash_ = std::move(onCrash);
}

auto ReplicaStandin::end(bool silent) -> void
{
    over_ = true;
    timersOfRuns_.clear();
    heldSteps_.clear();
    for (auto& run : runs_) {
        run.crashed = run.crashed || !run.endedAt;
        run.endedAt = run.endedAt.value_or(timers_.now());
    }
    silent ? server_.fallSilent() : server_.close();
}

auto ReplicaStandin::respond(const Caller& caller, wire::HttpResponseHead head, const std::string& body) const -> void
{
    if (leaving_)
        head.fields.add(names::leaving, "1");
    caller->respond(std::move(head), body);
}

auto ReplicaStandin::handle(const Caller& caller, const wire::HttpRequestMessage& request) -> void
{
    static constexpr auto calls = std::array { "/report", "/health", "/order" };
    if (std::find(calls.begin(), calls.end(), request.path()) != calls.end())
        return handleCall(caller, request);
    runModel(caller, request);
}

auto ReplicaStandin::handleCall(const Caller& caller, const wire::HttpRequestMessage& request) -> void
{
    calls_.push_back(timers_.now());
    auto head = wire::HttpResponseHead { .status = 200 };
    if (!restOfCallers_.empty()) {
        head.status = 503;
        head.fields.add(names::retryAfter, restOfCallers_);
        return respond(caller, std::move(head), {});
    }
    if (request.path() == "/report")
        return report(caller);
    if (request.path() == "/order")
        return order(caller, request);
    if (behaviour_.unhealthy)
        return respond(caller, { .status = 503 }, {});
    head.fields.add(names::instanceId, instance_);
    respond(caller, std::move(head), {});
}

auto ReplicaStandin::report(const Caller& caller) -> void
{
    auto models = Json::array();
    if (hasModel_)
        models.push_back({ { "name", base }, { "version", 1 }, { "adapters", adapterNames() } });
    auto report = Json { { "models", models }, { "busy", false }, { "sequence", sequence_ }, { "queued", 0 },
        { "running", 0 }, { "kvUsed", 0 } };
    if (tellsBirth_)
        report["born"] = born_;
    respond(caller, { .status = 200 }, report.dump());
}

auto ReplicaStandin::order(const Caller& caller, const wire::HttpRequestMessage& request) -> void
{
    if (request.fields.get(names::expectInstance) != instance_)
        return respond(caller, { .status = 421 }, {});
    orders_.push_back(request.body);
    if (behaviour_.loseOrders) {
        lostOrders_.push_back(request.body);
        return;
    }
    respond(caller, { .status = carryOut(request.body) }, {});
}

auto ReplicaStandin::carryOut(const std::string& body) -> int
{
    const auto json = Json::parse(body);
    const auto fence = json.at("fencingToken").get<std::uint64_t>();
    if (fence < highestFence_)
        return 412;
    if (json.contains("precondition") && json.at("precondition") != sequence_)
        return 409;
    highestFence_ = fence;
    ++sequence_;
    const auto adapter = json.value("adapter", std::string());
    if (json.at("operation") == "unload")
        return unload(adapter);
    if (adapter.empty()) {
        hasModel_ = true;
        return 202;
    }
    const auto newest = newest_.find(adapter);
    load(adapter, json.value("version", newest == newest_.end() ? std::uint64_t(1) : newest->second));
    crashed_ = crashed_ || adapters_.size() > slots_;
    return 202;
}

auto ReplicaStandin::heldVersion(const std::string& adapter) const -> std::uint64_t
{
    const auto held = adapters_.find(adapter);
    return held == adapters_.end() ? 0 : held->second;
}

auto ReplicaStandin::runs(const std::string& adapter) const -> bool
{
    const auto running = running_.find(adapter);
    return running != running_.end() && running->second > 0;
}

auto ReplicaStandin::unload(const std::string& adapter) -> int
{
    if (runs(adapter)) {
        waitingOrders_[adapter] = std::nullopt;
        return 202;
    }
    adapters_.erase(adapter);
    return 200;
}

auto ReplicaStandin::load(const std::string& adapter, std::uint64_t version) -> void
{
    if (adapters_.contains(adapter) && runs(adapter))
        waitingOrders_[adapter] = version;
    else
        adapters_[adapter] = version;
}

auto ReplicaStandin::afterwards(Duration delay, std::function<void()> step) -> void
{
    if (delay == Duration(0))
        return step();
    std::erase_if(timersOfRuns_, [](const Timer& timer) { return !timer.active(); });
    timersOfRuns_.push_back(
        timers_.after(delay, [this, step = std::move(step)]() mutable { unlessPaused(std::move(step)); }));
}

auto ReplicaStandin::runEnded(const std::string& adapter, std::uint64_t start) -> void
{
    if (adapter.empty() || start != born_ || --running_[adapter] > 0)
        return;
    const auto order = waitingOrders_.extract(adapter);
    if (order.empty())
        return;
    if (order.mapped())
        adapters_[adapter] = *order.mapped();
    else
        adapters_.erase(adapter);
}

auto ReplicaStandin::carryOutLost() -> std::size_t
{
    constexpr auto firstRefusal = 400;
    const auto lost = std::exchange(lostOrders_, {});
    return static_cast<std::size_t>(std::count_if(
        lost.begin(), lost.end(), [&](const std::string& body) { return carryOut(body) < firstRefusal; }));
}

auto ReplicaStandin::answerHead(const wire::HttpRequestMessage& request, int status) const -> wire::HttpResponseHead
{
    auto head = wire::HttpResponseHead { .status = status };
    head.fields.add(names::attemptId, request.fields.get(names::attemptId));
    if (!announcements_.empty() && !announcements_.back().limit.empty())
        head.fields.add(names::rateLimit, announcements_.back().limit);
    if (leaving_)
        head.fields.add(names::leaving, "1");
    if (status == 421)
        head.fields.add(names::instanceId, instance_);
    return head;
}

auto ReplicaStandin::noteNamedLimit(const wire::HttpResponseHead& head) -> void
{
    const auto limit = head.fields.get(names::rateLimit);
    if (limit.empty() || announcements_.empty() || announcements_.back().limit != limit)
        return;
    auto& named = announcements_.back().namedAt;
    named = named.value_or(timers_.now());
}

auto ReplicaStandin::runModel(const Caller& caller, const wire::HttpRequestMessage& request) -> void
{
    const auto attempt = std::string(request.fields.get(names::attemptId));
    arrivals_.push_back({ timers_.now(), attempt, born_, {}, leaving_ });
    if (!caller->open())
        return;
    if (request.fields.get(names::expectInstance) != instance_)
        return respond(caller, { .status = 421 }, {});
    auto head = answerHead(request, behaviour_.status);
    if (!rest_.empty()) {
        arrivals_.back().rest = rest_;
        head.status = 503;
        head.fields.add(names::notRun, "1");
        head.fields.add(names::retryAfter, rest_);
        noteNamedLimit(head);
        return caller->respond(std::move(head), {});
    }
    if (behaviour_.notRun) {
        head.fields.add(names::notRun, "1");
        noteNamedLimit(head);
        return caller->respond(std::move(head), {});
    }
    const auto adapter = adapterOf(request);
    if (auto refused = refusal(adapter, request)) {
        noteNamedLimit(*refused);
        return caller->respond(std::move(*refused), {});
    }
    if (!adapter.empty())
        ++running_[adapter];
    afterwards(behaviour_.beginsAfter + readingTime(request, adapter),
        [this, caller, request, adapter] { begin(caller, request, adapter); });
}

auto ReplicaStandin::readingTime(const wire::HttpRequestMessage& request, const std::string& adapter) -> Duration
{
    if (behaviour_.readRate <= 0)
        return Duration(0);
    return prompts_.read(adapter, request.fields.get(names::promptPrefix), behaviour_.readRate, timers_.now());
}

auto ReplicaStandin::refusal(const std::string& adapter, const wire::HttpRequestMessage& request) const
    -> std::optional<wire::HttpResponseHead>
{
    if (adapter.empty())
        return std::nullopt;
    const auto expected = wire::decimal(request.fields.get(names::expectVersion));
    if (!adapters_.contains(adapter) || (expected && *expected != adapters_.at(adapter))) {
        auto head = answerHead(request, misdirected);
        head.fields.add(names::notRun, "1");
        return head;
    }
    if (!waitingOrders_.contains(adapter) || behaviour_.runsWhileReplacing)
        return std::nullopt;
    auto head = answerHead(request, unavailable);
    head.fields.add(names::notRun, "1");
    return head;
}

auto ReplicaStandin::begin(const Caller& caller, const wire::HttpRequestMessage& request, const std::string& adapter)
    -> void
{
    // A replica drops a request whose connection has closed while it waited.
    if (!caller->open())
        return runEnded(adapter, born_);
    const auto runs = behaviour_.runsOneOf > 0 && ++begun_ % behaviour_.runsOneOf == 0;
    auto head = answerHead(request, runs ? 200 : behaviour_.status);
    const auto version = heldVersion(adapter);
    const auto from = behaviour_.beginsAnew ? 0 : wire::decimal(request.fields.get(names::lastEventId)).value_or(0);
    runs_.push_back({ timers_.now(), std::string(request.fields.get(names::attemptId)), request.target, adapter,
        version, from, software_, request.fields, request.body });
    if (!adapter.empty())
        head.fields.add(names::weightVersions, std::to_string(version));
    head.fields.add(names::seal, "seal-of-" + instance_);
    if (behaviour_.strangerFirst) {
        auto stranger = wire::HttpResponseHead { .status = 200 };
        stranger.fields.add(names::attemptId, "somebody-else");
        stranger.fields.add(names::seal, "seal-of-" + instance_);
        stranger.fields.add("Content-Length", "8");
        caller->write(wire::responseHeadText(stranger) + "stranger");
    }
    auto output = Output { .caller = caller, .adapter = adapter, .next = from + 1, .run = runs_.size() - 1 };
    output.silence = nextSilence();
    caller->watch({ .onGone = [this, run = output.run] { runs_.at(run).endedAt = timers_.now(); } });
    if (crash_ && crash_->isUnder(request))
        return beginCrash(caller, std::move(head));
    const auto streamed = !request.fields.get(names::model).empty();
    if (streamed)
        planStream(output);
    const auto silence = silenceAt(output, Silence::At::BeforeHead);
    continueAfter(silence, output, [this, output, head, streamed] { beginAnswer(output, head, streamed); });
}

auto ReplicaStandin::beginCrash(const Caller& caller, wire::HttpResponseHead head) -> void
{
    if (crash_->events > 0) {
        head.fields.add("Content-Type", "text/event-stream");
        noteNamedLimit(head);
        caller->begin(std::move(head));
        caller->writeChunk(streamEvents(1, crash_->events, software_));
    }
    afterwards(crash_->after, [this] {
        if (over_)
            return;
        // Ends the timer whose step this is.
        const auto onCrash = onCrash_;
        end(crash_->silent);
        onCrash();
    });
}

auto ReplicaStandin::beginAnswer(Output output, wire::HttpResponseHead head, bool streamed) -> void
{
    noteNamedLimit(head);
    if (!streamed) {
        if (output.silence.at != Silence::At::Nowhere)
            return respondInParts(output, head);
        over(output);
        return output.caller->respond(std::move(head), "body-of-" + instance_);
    }
    head.fields.add("Content-Type", "text/event-stream");
    output.caller->begin(std::move(head));
    const auto silence = silenceAt(output, Silence::At::AfterHead);
    continueAfter(silence, output, [this, output] { writeEvents(output); });
}

auto ReplicaStandin::respondInParts(const Output& output, const wire::HttpResponseHead& head) -> void
{
    const auto body = "body-of-" + instance_;
    const auto middle = body.size() / 2;
    output.caller->begin(head);
    output.caller->writeChunk(std::string_view(body).substr(0, middle));
    continueAfter(output.silence.time, output, [this, output, rest = body.substr(middle)] {
        over(output);
        output.caller->writeChunk(rest);
        output.caller->finish();
    });
}

auto ReplicaStandin::nextSilence() -> Silence
{
    const auto& silence = behaviour_.silence;
    return silence.runs && (*silence.runs)-- <= 0 ? Silence() : silence;
}

auto ReplicaStandin::silenceAt(Output& output, Silence::At at) -> Duration
{
    if (output.silence.at != at)
        return Duration(0);
    output.silence.at = Silence::At::Nowhere;
    return output.silence.time;
}

auto ReplicaStandin::over(const Output& output) -> void { runs_.at(output.run).endedAt = timers_.now(); }

auto ReplicaStandin::continueAfter(Duration delay, const Output& output, std::function<void()> step) -> void
{
    afterwards(delay, [this, output, step = std::move(step)] {
        if (output.caller->open())
            return step();
        runEnded(output.adapter, born_);
    });
}

auto ReplicaStandin::planStream(Output& output) -> void
{
    output.then = behaviour_.then;
    if (output.then != Behaviour::Then::Finish && behaviour_.times && (*behaviour_.times)-- <= 0)
        output.then = Behaviour::Then::Finish;
    output.last = output.then == Behaviour::Then::Finish ? behaviour_.events : behaviour_.sent;
}

auto ReplicaStandin::writeEvents(Output output) -> void
{
    constexpr auto eventsBeforeSilence = 2;
    const auto writeMore = [this](const Output& rest) { return [this, rest] { writeEvents(rest); }; };
    while (output.next <= output.last) {
        const auto event = streamEvent(output.next, software_);
        if (output.next > eventsBeforeSilence) {
            const auto partly = output.silence.at == Silence::At::InEvent;
            const auto silence = silenceAt(output, partly ? Silence::At::InEvent : Silence::At::InAnswer);
            if (partly)
                output.caller->writeChunk(std::string_view(event).substr(0, output.written = event.size() / 2));
            if (silence > Duration(0))
                return continueAfter(silence, output, writeMore(output));
        }
        output.caller->writeChunk(std::string_view(event).substr(std::exchange(output.written, 0)));
        ++output.next;
        if (behaviour_.eventGap > Duration(0))
            return continueAfter(behaviour_.eventGap, output, writeMore(output));
    }
    endStream(std::move(output));
}

auto ReplicaStandin::endStream(Output output) -> void
{
    switch (output.then) {
    case Behaviour::Then::Finish: {
        const auto silence = silenceAt(output, Silence::At::BeforeEnd);
        return afterwards(behaviour_.runsFor + silence, [this, output] {
            over(output);
            if (output.caller->open())
                output.caller->finish();
            runEnded(output.adapter, born_);
        });
    }
    case Behaviour::Then::Reset:
        // A reset overtakes what was sent just before it; the events have to be there first.
        return afterwards(50ms, [this, output] {
            over(output);
            output.caller->abort();
            runEnded(output.adapter, born_);
        });
    case Behaviour::Then::Silence:
        output.caller->watch({ .onGone = [this, run = output.run, adapter = output.adapter, start = born_] {
            ++cancelled_;
            runs_.at(run).endedAt = timers_.now();
            runEnded(adapter, start);
        } });
    }
}

} // namespace eelgrass::standins
