#pragma once

#include "platform/Names.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// Events that the client of a stream gets before it breaks off, and all of them.
inline constexpr auto eventsBeforeBreak = std::uint64_t(3);
inline constexpr auto eventsOfStream = std::uint64_t(5);

/// Engines of the software versions given, which stop streams after three events until they recover.
struct StreamRelease {
    explicit StreamRelease(std::vector<std::string> versions,
        standins::ReplicaStandin::Behaviour::Then then = standins::ReplicaStandin::Behaviour::Then::Silence)
        : world(versions.size(), 0)
        , engines(versions.size())
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            world.engine(index).setSoftware(versions[index]);
        world.publishReplicas();
        stopStreams(then);
    }
    /// `times` is how many streams, if not all.
    auto stopStreams(
        standins::ReplicaStandin::Behaviour::Then then = standins::ReplicaStandin::Behaviour::Then::Silence,
        const std::shared_ptr<int>& times = {}) -> void
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            world.engine(index).behave({ .sent = eventsBeforeBreak, .then = then, .times = times });
    }
    auto recover() -> void
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            world.engine(index).behave({});
    }
    auto runsOf(const std::string& attempt) -> std::size_t
    {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < engines; ++index) {
            const auto& runs = world.engine(index).runs();
            count += static_cast<std::size_t>(
                std::count_if(runs.begin(), runs.end(), [&](const auto& run) { return run.attempt == attempt; }));
        }
        return count;
    }
    auto runsOfAll() -> std::size_t
    {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < engines; ++index)
            count += world.engine(index).runs().size();
        return count;
    }
    /// Begins a stream that its client leaves after three events; the version of these.
    auto begin(const std::string& stream, std::size_t gateway = 0) -> std::string
    {
        const auto third = "id: " + std::to_string(eventsBeforeBreak) + "\n";
        const auto answer = world.receive({ .attempt = stream, .body = stream, .gateway = gateway }, third);
        const auto software = answer.body == standins::streamEvents(1, eventsBeforeBreak, "v1") ? "v1" : "v1.1";
        BOOST_REQUIRE(answer.body == standins::streamEvents(1, eventsBeforeBreak, software));
        return software;
    }
    /// The engine that ran the attempt; it is full from now on, so that the stream has to go on elsewhere.
    auto fillEngineOf(const std::string& attempt) -> std::size_t
    {
        const auto ran = [&](std::size_t index) {
            const auto& runs = world.engine(index).runs();
            return std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run.attempt == attempt; });
        };
        auto index = std::size_t(0);
        while (!ran(index))
            ++index;
        world.engine(index).behave({ .status = 503, .notRun = true });
        return index;
    }
    /// The client takes the stream up with a new attempt; it names the attempts `resumes`.
    auto takeUpAs(const std::vector<std::string>& resumes, const std::string& stream, const std::string& attempt,
        std::size_t gateway = 0) -> ReceivedAnswer
    {
        auto request = ServingWorld::Request { .attempt = attempt, .body = stream, .gateway = gateway };
        for (const auto& named : resumes)
            request.more.add(hosting::names::resumes, named);
        request.more.add(hosting::names::lastEventId, std::to_string(eventsBeforeBreak));
        return world.receive(request);
    }
    auto takeUp(const std::string& stream, const std::string& attempt, std::size_t gateway = 0) -> ReceivedAnswer
    {
        return takeUpAs({ stream }, stream, attempt, gateway);
    }
    /// The host of this engine is gone, and the list shows it.
    auto removeHost(std::size_t index, std::size_t gateway) -> void
    {
        world.stopAgent(index);
        world.store().remove("servers", world.engine(index).instance());
        const auto before = world.gateway(gateway).directory().all().size();
        BOOST_REQUIRE(world.until([&] { return world.gateway(gateway).directory().all().size() == before - 1; }));
    }
    /// The entry ends, as a kill does, once it has noticed that its clients have left: it cannot be destroyed in the
    /// middle of a request.
    auto killEntry(std::size_t gateway) -> void
    {
        world.wait(200ms);
        world.stopGateway(gateway);
    }

    ServingWorld world;
    std::size_t engines;
};

/// Whether the answer is the rest of a stream that `software` began.
[[nodiscard]] inline auto isRest(const ReceivedAnswer& answer, const std::string& software) -> bool
{
    return answer.whole && answer.status == 200
        && answer.body == standins::streamEvents(eventsBeforeBreak + 1, eventsOfStream, software);
}

} // namespace eelgrass::tests
