#include "platform/Documents.h"
#include "platform/RequestHeaders.h"
#include "serving/MemberTable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

using namespace eelgrass;

// The users' configuration with its members, and the headers by which a caller says who it is: up to a line of its own
// with `--` the configuration, then a request's head.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    const auto text = std::string_view(reinterpret_cast<const char*>(data), size);
    const auto end = std::min(text.find("\n--\n"), text.size());
    auto members = serving::MemberTable();
    auto configuration = orElse(
        [&]() -> Result<serving::ServingConfiguration> { return hosting::readConfiguration(text.substr(0, end)); },
        [](const Error&) { return serving::ServingConfiguration(); });
    members = serving::MemberTable(configuration);
    auto reader = wire::RequestReader({});
    auto head = std::string(text.substr(std::min(end + 4, text.size())));
    if (reader.feed(head) != wire::HttpFault::None || !reader.complete())
        return 0;
    const auto request = reader.take();
    const auto* member = members.find(hosting::readKey(request));
    auto options = hosting::ForwardOptions { .instance = serving::InstanceId("i") };
    if (member)
        options.member = member->name;
    const auto fields = hosting::forwardedFields(request, options);
    // Whoever it is, the key stays here, and nobody names its member itself.
    if (!hosting::readKey({ .fields = fields }).empty())
        __builtin_trap();
    return 0;
}
