// The part of Soak that releases software versions, and whose clients take streams up.
#include "platform/Names.h"
#include "tests/soak/Soak.h"

#include <algorithm>

namespace eelgrass::soak {

namespace {

namespace names = hosting::names;

constexpr auto mostAttempts = 4;
// Fewer streams than this are not judged by their share.
constexpr auto fewestTakenUp = 12;
// The users' bound after a disturbance, within which a machine is not in touch.
constexpr auto contact = Duration(3s);

/// The complete events of what a client has received: number and software version.
auto eventsOf(const std::string& body) -> std::vector<std::pair<std::uint64_t, std::string>>
{
    auto events = std::vector<std::pair<std::uint64_t, std::string>>();
    for (auto start = std::size_t(0), end = body.find("\n\n"); end != std::string::npos;
         start = end + 2, end = body.find("\n\n", start)) {
        const auto event = body.substr(start, end - start);
        const auto data = event.find("data: ");
        const auto space = event.find(' ', data + 6);
        events.emplace_back(std::stoul(event.substr(data + 6)), event.substr(space + 1));
    }
    return events;
}

} // namespace

/// Adds what an answer brought to the client's copy; whether it brought anything new.
auto Soak::apply(Stream& stream, const tests::ReceivedAnswer& answer) -> bool
{
    const auto events = answer.status == 200 ? eventsOf(answer.body) : decltype(eventsOf({})) {};
    for (const auto& [number, software] : events) {
        stream.events.push_back(number);
        stream.versions.insert(software);
    }
    stream.whole = answer.status == 200 && answer.whole;
    return !events.empty() || stream.whole;
}

auto Soak::receive(std::shared_ptr<Stream> stream, std::string attempt, std::size_t gateway)
    -> kj::Promise<tests::ReceivedAnswer>
{
    auto caller = std::make_shared<tests::StreamCaller>(loop_.timers(), gateways_[gateway].port, clientAddress());
    auto request = requestFor(attempt, "/resumable/x", {}, "prompt of " + stream->first);
    if (!stream->events.empty()) {
        request.fields.add(names::resumes, stream->first);
        request.fields.add(names::lastEventId, std::to_string(stream->events.back()));
    }
    // Some clients lose their connection in the middle of the stream.
    const auto next = stream->events.empty() ? 1 : stream->events.back() + 1;
    const auto leaves = streamRandom_() % 3 == 0;
    return caller->call(request, leaves ? "id: " + std::to_string(next + streamRandom_() % 3) + "\n" : "")
        .attach(kj::cp(caller));
}

auto Soak::takeUpUntilWhole(std::shared_ptr<Stream> stream, int attempts) -> kj::Promise<void>
{
    if (stream->whole || stream->events.empty() || attempts == 0 || over_)
        return kj::READY_NOW;
    const auto pause = std::chrono::milliseconds(5 + streamRandom_() % 200);
    return loop_.sleep(pause).then([this, stream, attempts] {
        const auto gateway = static_cast<std::size_t>(streamRandom_() % size_.gateways);
        auto takeUp = TakeUp { "again-" + std::to_string(++asked_), gateway, loop_.timers().now() };
        return receive(stream, takeUp.attempt, gateway)
            .then([this, stream, attempts, takeUp](tests::ReceivedAnswer&& answer) mutable {
                takeUp.ended = loop_.timers().now();
                takeUp.status = answer.status;
                takeUp.goneOn = apply(*stream, answer);
                stream->takenUp.push_back(takeUp);
                return takeUpUntilWhole(stream, attempts - 1);
            });
    });
}

auto Soak::streamClient() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    auto stream = std::make_shared<Stream>();
    stream->first = "stream-" + std::to_string(++asked_);
    stream->gateway = static_cast<std::size_t>(streamRandom_() % size_.gateways);
    stream->began = loop_.timers().now();
    streams_.push_back(stream);
    return receive(stream, stream->first, stream->gateway)
        .then([this, stream](tests::ReceivedAnswer&& answer) {
            stream->status = answer.status;
            stream->firstEventBy = loop_.timers().now();
            (void)apply(*stream, answer);
            return takeUpUntilWhole(stream, mostAttempts - 1);
        })
        .then([this] { return loop_.sleep(std::chrono::milliseconds(1 + streamRandom_() % 40)); })
        .then([this] { return streamClient(); });
}

auto Soak::replaceEngine(Engine& engine, const std::string& software) -> void
{
    store_.remove("servers", engine.replica->instance());
    engine.replica->setSoftware(software);
    restartEngine(engine);
}

/// Now and then a replica crashes and comes back with another version; most say that they leave before.
auto Soak::release() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    auto& engine = engines_.at(streamRandom_() % engines_.size());
    const auto software = std::string(softwareVersions.at(streamRandom_() % softwareVersions.size()));
    if (!engine.replica->leaving()) {
        if (streamRandom_() % 4 == 0) {
            note("replica crashes and another version follows");
            replaceEngine(engine, software);
        } else {
            note("release");
            engine.replica->announceLeaving();
            engine.served.back().until = loop_.timers().now();
            later(std::chrono::milliseconds(300 + streamRandom_() % 1200), [this, &engine, software] {
                if (engine.replica->leaving())
                    replaceEngine(engine, software);
            });
        }
    }
    return loop_.sleep(std::chrono::milliseconds(400 + streamRandom_() % 1600)).then([this] { return release(); });
}

auto Soak::faultBesideReleases() -> void
{
    const auto kind = number(0, 19);
    if (kind < 5)
        return faultOnNode(any(gateways_));
    if (kind < 10)
        return faultOnNode(any(agents_));
    if (kind < 13) {
        auto& engine = any(engines_);
        engine.disturbances.push_back(loop_.timers().now());
        return faultOnEngine(engine);
    }
    if (kind < 15) {
        auto& engine = any(engines_);
        engine.disturbances.push_back(loop_.timers().now());
        return faultOnLeg(*engine.leg, "replica");
    }
    if (kind < 17)
        return faultOnLeg(*any(engines_).session, "agent");
    if (kind < 19)
        return faultOnStoreLeg(chance(0.5) ? any(gateways_) : any(agents_));
    faultOnStore();
}

auto Soak::servingAll(const std::string& software, Moment from, Moment until) const -> std::size_t
{
    const auto serves = [&](const Engine& engine) {
        const auto disturbed = std::any_of(engine.disturbances.begin(), engine.disturbances.end(),
            [&](Moment moment) { return moment >= from - contact && moment <= until; });
        return !disturbed && std::any_of(engine.served.begin(), engine.served.end(), [&](const auto& start) {
            return start.software == software && start.from <= from - contact && start.until.value_or(until) >= until;
        });
    };
    return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), serves));
}

auto Soak::inTouch(std::size_t gateway, Moment from, Moment until) const -> bool
{
    const auto& node = gateways_[gateway];
    for (const auto* moments : { &node.disturbances, &node.storeDisturbances, &storeDisturbances_ }) {
        for (const auto moment : *moments) {
            if (moment >= from - contact && moment <= until)
                return false;
        }
    }
    return true;
}

auto Soak::judgeStream(const Stream& stream, std::vector<std::string>& broken) const -> void
{
    const auto say = [&](const std::string& what) {
        auto text = what + ": " + stream.first + " at " + gateways_[stream.gateway].name + ", events";
        for (const auto event : stream.events)
            text += " " + std::to_string(event);
        for (const auto& version : stream.versions)
            text += " " + version;
        for (const auto& takeUp : stream.takenUp)
            text += ", " + takeUp.attempt + " at " + gateways_[takeUp.gateway].name + " "
                + std::to_string(takeUp.status) + (takeUp.goneOn ? " gone on" : "");
        broken.push_back(text);
    };
    if (stream.versions.size() > 1)
        say("a stream of two software versions");
    auto next = std::uint64_t(1);
    for (const auto event : stream.events) {
        if (event != next++)
            return say("a stream whose events do not follow one another");
    }
    constexpr auto wholeStream = std::size_t(5);
    if (stream.whole && stream.events.size() != wholeStream)
        say("a stream that is not whole");
    for (const auto& takeUp : stream.takenUp) {
        const auto ran = std::any_of(engines_.begin(), engines_.end(), [&](const Engine& engine) {
            const auto& runs = engine.replica->runs();
            return std::any_of(
                runs.begin(), runs.end(), [&](const auto& run) { return run.attempt == takeUp.attempt; });
        });
        if (takeUp.status == 503 && ran)
            say("refused and has run");
    }
}

auto Soak::judgeStreamsGoneOn(std::vector<std::string>& broken) const -> void
{
    auto begun = 0;
    auto asked = 0;
    auto goneOn = 0;
    auto takenUp = 0;
    for (const auto& stream : streams_) {
        if (inTouch(stream->gateway, stream->began, stream->firstEventBy)) {
            ++asked;
            begun += stream->events.empty() ? 0 : 1;
        }
        for (const auto& takeUp : stream->takenUp) {
            if (stream->versions.size() != 1 || !inTouch(takeUp.gateway, takeUp.began, takeUp.ended)
                || servingAll(*stream->versions.begin(), takeUp.began, takeUp.ended) < 2)
                continue;
            ++takenUp;
            goneOn += takeUp.goneOn ? 1 : 0;
        }
    }
    if (takenUp >= fewestTakenUp && 2 * goneOn * asked < begun * takenUp)
        broken.push_back("streams that are taken up do not go on: " + std::to_string(goneOn) + " of "
            + std::to_string(takenUp) + ", new ones begin: " + std::to_string(begun) + " of " + std::to_string(asked));
}

auto Soak::streamCounts() const -> std::map<std::string, int>
{
    auto counts = std::map<std::string, int>();
    for (const auto& stream : streams_) {
        ++counts["streams"];
        counts["streams begun"] += stream->events.empty() ? 0 : 1;
        counts["streams whole"] += stream->whole ? 1 : 0;
        for (const auto& takeUp : stream->takenUp) {
            ++counts["streams taken up"];
            counts["streams gone on"] += takeUp.goneOn ? 1 : 0;
            counts["streams refused"] += takeUp.status == 503 ? 1 : 0;
        }
    }
    return counts;
}

} // namespace eelgrass::soak
