/// Checks the settings of an entry and prints all that is wrong with them at once.
#include "router/Settings.h"

#include <iostream>

auto main() -> int
{
    constexpr auto settings = R"(name: e1
availability_zone: zone-1
platform: { address: platform.example, port: 70000 }
secret: short
typo: 1
)";
    const auto checked = eelgrass::router::parseEntrySettings(settings, "example.yaml");
    for (const auto& problem : checked.problems)
        std::cout << problem << "\n";
    return checked.ok() ? 1 : 0;
}
