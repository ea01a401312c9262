#pragma once

#include "base/Clock.h"

#include <cstddef>

namespace eelgrass::decisions {

/// How many adapters one replica fetches at a time, by how long the last ones took.
///
/// Load made for: every replica empty at once after a loss of power, and many rare adapters wanted at the same moment.
/// Harm prevented: the weight store divides what it gives among all loads, so that with four from each replica all of
/// them arrive late together. One after another, most requests have theirs in time, and as many arrive in all.
/// What only late requests wait for is fetched one at a time: on a shared store each such load is a wait for somebody
/// who could have been on time.
/// Nobody counts the loads of all replicas; each goes back to one when its own took too long, and adds one for each
/// that did not, as senders on a shared line do. What a replica has at hand comes without the store and says nothing of
/// it.
///
/// ```cpp
/// if (coming < pace.limit(wanted.late)) order(load);
/// pace.ended(now - orderedAt);
/// ```
class LoadConcurrency {
public:
    [[nodiscard]] auto limit(bool late = false) const noexcept -> std::size_t { return late ? 1 : limit_; }
    /// A load from the weight store is over.
    auto ended(Duration took) noexcept -> void
    {
        if (took > crowded)
            limit_ = 1;
        else if (limit_ < most)
            ++limit_;
    }

private:
    // What an engine takes at a time.
    static constexpr auto most = std::size_t(4);
    // A load alone takes 250 to 300 ms by the users' figures.
    static constexpr auto crowded = Duration(450ms);

    std::size_t limit_ = 1;
};

} // namespace eelgrass::decisions
