#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace eelgrass::decisions {

/// Lets one process at a time try what is refused everywhere, so that the end of a refusal is one run and not one at
/// each entry.
///
/// ```cpp
/// if (leases.take(key, now)) grant();
/// ```
class ProbeLeases {
public:
    /// Whoever was granted a probe has used it by then, and its outcome is known.
    static constexpr auto leaseTime = Duration(15s);
    /// Within this of its grant the probe may begin.
    static constexpr auto useTime = Duration(10s);
    static constexpr auto capacity = std::size_t(1000);

    /// Returns whether the probe is granted.
    [[nodiscard]] auto take(std::uint64_t key, Moment now) -> bool
    {
        std::erase_if(until_, [now](const auto& lease) { return lease.second <= now; });
        if (until_.size() >= capacity)
            return false;
        return until_.try_emplace(key, now + leaseTime).second;
    }

private:
    std::map<std::uint64_t, Moment> until_;
};

} // namespace eelgrass::decisions
