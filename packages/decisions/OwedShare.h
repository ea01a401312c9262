#pragma once

#include <algorithm>
#include <cstdint>

namespace eelgrass::decisions {

/// Keeps a share of what a replica can do for requests to which service is due, and no more than that.
///
/// The share is counted in prompt tokens and in requests, because a replica can be short of either. One request may go
/// first at any time; the next one may when the others have had their part of what it took.
///
/// ```cpp
/// if (share.mayTake(shortOfReading)) { grant(overdue); share.taken(overdue.unreadTokens); }
/// else { grant(next); share.passed(next.unreadTokens); }
/// ```
class OwedShare {
public:
    /// What the others have of the replica for each part that goes to requests to which service is due.
    static constexpr auto othersPerOwed = std::uint64_t(3);

    [[nodiscard]] auto mayTake(bool shortOfReading) const noexcept -> bool
    {
        return (shortOfReading ? tokensOwedToOthers_ : requestsOwedToOthers_) == 0;
    }
    /// A request to which service is due went first.
    auto taken(std::uint64_t tokens) noexcept -> void
    {
        tokensOwedToOthers_ += othersPerOwed * tokens;
        requestsOwedToOthers_ += othersPerOwed;
    }
    /// Another request was granted.
    auto passed(std::uint64_t tokens) noexcept -> void
    {
        tokensOwedToOthers_ -= std::min(tokensOwedToOthers_, tokens);
        requestsOwedToOthers_ -= std::min<std::uint64_t>(requestsOwedToOthers_, 1);
    }
    /// What is read until a request to which service is due has been read, if these tokens go before it in the share.
    [[nodiscard]] auto tokensUntil(std::uint64_t owedTokens) const noexcept -> std::uint64_t
    {
        return tokensOwedToOthers_ + (othersPerOwed + 1) * owedTokens;
    }
    /// Requests that are granted before one to which service is due, if so many go before it in the share.
    [[nodiscard]] auto requestsUntil(std::uint64_t owedRequests) const noexcept -> std::uint64_t
    {
        return requestsOwedToOthers_ + (othersPerOwed + 1) * owedRequests;
    }

private:
    std::uint64_t tokensOwedToOthers_ = 0;
    std::uint64_t requestsOwedToOthers_ = 0;
};

} // namespace eelgrass::decisions
