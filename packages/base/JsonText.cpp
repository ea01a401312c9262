#include "base/JsonText.h"

#include <nlohmann/json.hpp>

namespace eelgrass {

auto isNestingWithin(std::string_view text, int maxDepth) noexcept -> bool
{
    auto depth = 0;
    auto inString = false;
    for (auto index = std::size_t(0); index < text.size(); ++index) {
        const auto character = text[index];
        if (inString) {
            if (character == '\\')
                ++index;
            else
                inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '{' || character == '[') {
            if (++depth > maxDepth)
                return false;
        } else if (character == '}' || character == ']') {
            --depth;
        }
    }
    return true;
}

auto parseJson(std::string_view text) -> nlohmann::json
{
    if (!isNestingWithin(text, maxJsonDepth))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace eelgrass
