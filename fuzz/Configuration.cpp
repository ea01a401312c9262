#include "router/Configuration.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace eelgrass;
using namespace eelgrass::router;

namespace {

auto parse(const Json& document) -> void
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(configuration, Configuration::parse(ConfigVersion(1), document));
            for (const auto* model : { "life", "life@1", "life@x", "@" }) {
                (void)orElse(
                    [&]() -> Result<bool> {
                        BOOST_LEAF_CHECK(configuration.resolve(model, MemberId("armor-a")));
                        return true;
                    },
                    [](const Error&) { return false; });
            }
            return {};
        },
        [](const Error&) {});
}

} // namespace

// A document and a patch onto it, parted by a line of their own: what parses is used, what does not is refused.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    const auto text = std::string_view(reinterpret_cast<const char*>(data), size);
    const auto split = text.find("\n---\n");
    auto document = Json::parse(text.substr(0, split), nullptr, false);
    if (document.is_discarded())
        return 0;
    parse(document);
    if (split == std::string_view::npos)
        return 0;
    const auto patch = Json::parse(text.substr(split + 5), nullptr, false);
    if (!patch.is_object())
        return 0;
    document.merge_patch(patch);
    parse(document);
    return 0;
}
