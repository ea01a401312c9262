#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <vector>

namespace eelgrass::decisions {

/// Hash of a request's content and caller, the same at every process.
using RequestDigest = StrongNumber<struct RequestDigestTag>;
/// Hash of something that different requests hold, the same at every process: a part of their prompts, or a version of
/// an adapter.
using SharedHash = StrongNumber<struct SharedHashTag>;
namespace detail {

inline constexpr auto memberBit = std::uint64_t(1) << 63U;

} // namespace detail

/// The hash of something that any member's requests may hold.
[[nodiscard]] constexpr auto heldByAll(std::uint64_t hash) noexcept -> SharedHash
{
    return SharedHash(hash & ~detail::memberBit);
}
/// The hash of something as one member's requests hold it. It is no narrower cause than the thing itself.
[[nodiscard]] constexpr auto heldByMember(std::uint64_t hash) noexcept -> SharedHash
{
    return SharedHash(hash | detail::memberBit);
}
[[nodiscard]] constexpr auto isHeldByMember(SharedHash held) noexcept -> bool
{
    return (held.value() & detail::memberBit) != 0;
}

/// Hash of one start of a replica.
using StartHash = StrongNumber<struct StartHashTag>;

/// What a run holds that may crash its replica: the request itself, and what other requests hold as well.
struct RunContent {
    RequestDigest request;
    std::vector<SharedHash> shared;
};

/// What is known of a run that ended without its answer. Of two reports on one run the later kind holds.
enum class CrashEvidence : std::uint8_t {
    /// The run broke off; its replica may have crashed.
    Broke,
    /// The replica's start ended while the request ran there.
    Crashed,
    /// The request has run to its end elsewhere since.
    Cleared,
};

/// A request's run that ended without its answer, as processes tell each other.
struct CrashReport {
    RequestDigest request;
    StartHash start;
    /// Breaks of this request at this start before; such a start outlived them.
    std::uint8_t breaksBefore = 0;
    CrashEvidence evidence = CrashEvidence::Broke;
    Moment at {};
    std::vector<SharedHash> shared {};
    /// Whether the run had brought events. Most of what crashes a replica does so before.
    bool begun = false;
};

/// The latest run, of any request that holds this, which crashed nothing.
struct WholeRun {
    SharedHash held;
    /// When its answer began: a replica crashes as it begins to write.
    Moment begunAt {};
};

} // namespace eelgrass::decisions
