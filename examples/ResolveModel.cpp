/// Reads a configuration and settles which adapter and version a caller's model name means.
#include "router/Configuration.h"

#include <iostream>

using namespace eelgrass;
using router::Json;

namespace {

auto settle(const router::Configuration& configuration, const char* model, const char* member) -> void
{
    const auto told = orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(resolved, configuration.resolve(model, MemberId(member)));
            return resolved.name.str();
        },
        [](const Error& error) { return error.message(); });
    std::cout << model << " for " << member << ": " << told << "\n";
}

} // namespace

auto main() -> int
{
    const auto document = Json::parse(R"({"adapters":{"life-report":{"base":"bearing-base","in_force":2,
        "allow":["armor-a"],"versions":{"1":{"digest":"aa11"},"2":{"digest":"bb22"}}}}})");
    return orElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(configuration, router::Configuration::parse(ConfigVersion(1), document));
            settle(configuration, "life-report", "armor-a");
            settle(configuration, "life-report@1", "armor-a");
            settle(configuration, "life-report", "armor-b");
            return 0;
        },
        [](const Error& error) {
            std::cerr << error << "\n";
            return 1;
        });
}
