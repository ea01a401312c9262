#include "tests/harness/ReplicaEntry.h"

#include <nlohmann/json.hpp>

namespace eelgrass::tests {

auto replicaEntry(const std::string& service, const Endpoint& endpoint) -> std::string
{
    auto models = nlohmann::json::array();
    if (service == "engine")
        models.push_back({ { "name", "base" }, { "version", 1 }, { "adapters", nlohmann::json::array() } });
    return nlohmann::json {
        { "service", service }, { "address", endpoint.str() }, { "zone", "zone-1" }, { "slots", 250 },
        { "state", "ready" }, { "models", models }, { "sequence", 1 }
    }.dump();
}

} // namespace eelgrass::tests
