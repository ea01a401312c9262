#pragma once

#include "tests/harness/Process.h"
#include "tests/harness/ServingWorld.h"

#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace eelgrass::tests {

/// Engines with an agent process beside each, and a gateway on the test's loop.
struct AgentProcesses {
    AgentProcesses(std::size_t engineCount, std::size_t plainCount)
        : engines(engineCount)
        , world(engineCount, plainCount)
        , agents(engineCount)
    {
        for (auto index = std::size_t(0); index < engines; ++index) {
            world.stopAgent(index);
            startAgent(index, true);
        }
        world.startGateway();
    }
    ~AgentProcesses()
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            std::remove(settingsOf(index).c_str());
    }
    AgentProcesses(const AgentProcesses&) = delete;
    auto operator=(const AgentProcesses&) -> AgentProcesses& = delete;

    [[nodiscard]] static auto settingsOf(std::size_t index) -> std::string
    {
        return "/tmp/eelgrass-agent-" + std::to_string(getpid()) + "-" + std::to_string(index) + ".yaml";
    }
    auto startAgent(std::size_t index, bool firstStart = false) -> void
    {
        const auto replica = world.engine(index).endpoint();
        std::ofstream(settingsOf(index)) << "name: agent-" << index
                                         << "\navailability_zone: zone-1\naddress: " << replica.address << "\nstore: \""
                                         << world.store().endpoint().str() << "\"\nreplica: \"" << replica.str()
                                         << "\"\nservice: engine\nagent_port: " << world.agentPort()
                                         << "\nmetrics_port: 0\ngrace_ms: 3500\nfirst_write_spread_ms: 0\nfirst_start: "
                                         << (firstStart ? "true" : "false") << "\n";
        agents[index] = std::make_unique<Process>(
            "agent", "eelgrassrouterd", std::vector<std::string> { "--role=agent", "--settings=" + settingsOf(index) });
        (void)agents[index]->listeningPort();
    }
    /// Returns the exit code.
    auto stopAgent(std::size_t index) -> int
    {
        agents[index]->signal(SIGTERM);
        return agents[index]->wait();
    }
    auto linkTo(std::size_t index) -> const serving::AgentLink&
    {
        return *world.gateway().directory().all().at(serving::InstanceId(world.engine(index).instance()))->agent();
    }
    auto attached(std::size_t index) -> bool
    {
        return world.until([&] { return linkTo(index).alive() && linkTo(index).state().usable; });
    }
    auto runsOfAll() -> std::size_t
    {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < engines; ++index)
            count += world.engine(index).runs().size();
        return count;
    }

    std::size_t engines;
    ServingWorld world;
    std::vector<std::unique_ptr<Process>> agents;
};

} // namespace eelgrass::tests
