#include "router/Settings.h"

#include <cstddef>
#include <cstdint>

// Settings come from an operator's file, which may hold anything: a problem is told, never a crash.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    const auto yaml = std::string(reinterpret_cast<const char*>(data), size);
    (void)eelgrass::router::parseEntrySettings(yaml, "entry.yaml");
    (void)eelgrass::router::parseTargetSettings(yaml, "target.yaml");
    return 0;
}
