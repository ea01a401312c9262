#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>

/// How messages between processes carry the age of news, since their clocks differ.
namespace eelgrass::serving::detail {

/// Stands for news of unknown age.
inline constexpr auto unknownAgeMs = std::numeric_limits<std::uint32_t>::max();

/// The time from `at` to `now`, in milliseconds and rounded down; 0 if `at` is later.
[[nodiscard]] inline auto millisecondsSince(Moment at, Moment now) noexcept -> std::uint32_t
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, unknownAgeMs));
}

/// The age of what happened at `moment` or later, in milliseconds and rounded up.
[[nodiscard]] inline auto ageOfMoment(const std::optional<Moment>& moment, Moment now) noexcept -> std::uint32_t
{
    if (!moment)
        return unknownAgeMs;
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *moment).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, unknownAgeMs));
}

[[nodiscard]] inline auto momentOfAge(std::uint32_t ageMs, Moment now) noexcept -> std::optional<Moment>
{
    return ageMs == unknownAgeMs ? std::nullopt : std::optional(now - Duration(std::chrono::milliseconds(ageMs)));
}

} // namespace eelgrass::serving::detail
