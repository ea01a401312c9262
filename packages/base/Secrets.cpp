#include "base/Secrets.h"

#include <glib.h>
#include <sys/random.h>

#include <memory>
#include <stdexcept>
#include <vector>

namespace eelgrass {

namespace {

auto takeString(char* text) -> std::string
{
    auto owned = std::unique_ptr<char, decltype(&g_free)>(text, g_free);
    return owned ? std::string(owned.get()) : std::string();
}

auto bytesOf(std::string_view text) -> const guchar* { return reinterpret_cast<const guchar*>(text.data()); }

} // namespace

auto sha256Hex(std::string_view data) -> std::string
{
    return takeString(g_compute_checksum_for_data(G_CHECKSUM_SHA256, bytesOf(data), data.size()));
}

auto hmacHex(std::string_view secret, std::string_view data) -> std::string
{
    return takeString(
        g_compute_hmac_for_data(G_CHECKSUM_SHA256, bytesOf(secret), secret.size(), bytesOf(data), data.size()));
}

auto equalConstantTime(std::string_view left, std::string_view right) noexcept -> bool
{
    if (left.size() != right.size())
        return false;
    auto difference = 0U;
    for (auto i = std::size_t(0); i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

auto randomHex(std::size_t bytes) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    auto raw = std::vector<unsigned char>(bytes);
    if (getrandom(raw.data(), raw.size(), 0) != static_cast<ssize_t>(raw.size()))
        throw std::runtime_error("the kernel gave no random bytes");
    auto text = std::string();
    for (auto byte : raw) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace eelgrass
