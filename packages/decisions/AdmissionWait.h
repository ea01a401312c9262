#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace eelgrass::decisions {

/// What a queued request waits for.
enum class WaitReason {
    /// Its adapter is not ready.
    Adapter,
    /// The batch is full, or the memory for prompts and answers.
    Place,
    /// Prompts ahead of its own, granted ones included.
    Reading,
    /// The replica's rate limit.
    Permit,
};

[[nodiscard]] constexpr auto toString(WaitReason reason) noexcept -> const char*
{
    switch (reason) {
    case WaitReason::Adapter:
        return "adapter";
    case WaitReason::Place:
        return "place";
    case WaitReason::Reading:
        return "reading";
    case WaitReason::Permit:
        return "permit";
    }
    return "";
}

/// Requests granted, by class.
using GrantCounts = std::map<RequestClass, std::uint64_t>;

/// What a request has waited for in an admission queue, and who was served meanwhile.
struct AdmissionWait {
    std::map<WaitReason, Duration> times {};
    /// Requests granted before this one arrived.
    GrantCounts grantedBefore {};
    /// Requests that arrived later and were granted first.
    std::size_t overtakenBy = 0;
};

/// What was granted since `before`, as "chat 12, summary 1".
[[nodiscard]] inline auto grantedSince(const GrantCounts& before, const GrantCounts& now) -> std::string
{
    auto text = std::string();
    for (const auto& [requestClass, count] : now) {
        const auto earlier = before.find(requestClass);
        const auto granted = count - (earlier == before.end() ? 0 : earlier->second);
        if (granted > 0)
            text += (text.empty() ? "" : ", ") + requestClass.str() + " " + std::to_string(granted);
    }
    return text;
}

} // namespace eelgrass::decisions
