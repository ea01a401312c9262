#pragma once

#include "decisions/Fleet.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace eelgrass::decisions {

/// The properties of a request that placement depends on.
struct PlacementRequest {
    /// Adapter that the request uses; empty for a plain service.
    ModelName model;
    /// Base model or plain service that a target must serve.
    std::string serves;
    AvailabilityZone zone;
    /// Targets that have already refused the request.
    std::vector<TargetId> tried;
    /// The software version that began the answer; empty if it has not begun.
    std::optional<SoftwareVersion> software {};
};

/// How placement rates one target for a request.
struct Explanation {
    enum class Reason { Holds, LoadComing, MustLoad, Tried, OtherSoftware, Leaving, Unreachable };

    TargetId target;
    Reason reason = Reason::MustLoad;
    /// Expected wait until the request starts at the target; zero if the target is not usable.
    Duration expectedStart {};
    /// Delay that one more load of the adapter adds for all requests that wait for loads.
    Duration loadCost {};
    /// Time to first token relative to the target's peers; 1 means equally fast.
    double slowness = 1;

    /// Whether the request may be sent to the target.
    [[nodiscard]] auto usable() const noexcept -> bool { return reason <= Reason::MustLoad; }
};
[[nodiscard]] auto toString(Explanation::Reason) noexcept -> std::string_view;

/// Chooses the target with the earliest expected start, among the targets that hold the request's adapter and a few
/// that could load it.
///
/// Designed for skewed demand over far more adapters than slots, with delayed reports from targets. The choice prevents
/// unnecessary loads, all entries choosing the same idle target, a popular adapter being confined to one full target,
/// and requests being sent to a slow target. The constants in Placer.cpp state the reasons for their values;
/// docs/DECISIONS.md has the measurements.
///
/// ```cpp
/// auto chosen = placer.choose(request, fleet, now);
/// if (chosen)
///     fleet.sent(*chosen, request.model, now);
/// ```
class Placer {
public:
    explicit Placer(std::uint64_t seed) noexcept
        : random_(seed)
    {
    }

    /// Returns no value if no target may take the request.
    [[nodiscard]] auto choose(const PlacementRequest&, const Fleet&, Moment now) -> std::optional<Fleet::Index>;
    /// Rates all targets that serve the request the way `choose` does, best first, without changing any state.
    [[nodiscard]] auto explain(const PlacementRequest&, const Fleet&) const -> std::vector<Explanation>;
    /// Number of holders among which placement currently spreads the adapter's requests.
    [[nodiscard]] auto wantedHolders(const ModelName& model) const -> std::size_t;

private:
    static constexpr auto maxCandidates = std::size_t(8);
    struct Candidate {
        Fleet::Index index = 0;
        std::uint64_t score = 0;
        Duration cost {};
    };
    /// A list of bounded size on the stack, so that a placement allocates nothing that grows with the fleet.
    struct Candidates {
        std::array<Candidate, maxCandidates> at;
        std::size_t count = 0;
    };
    /// The number of holders that an adapter should have; stored only for adapters that need more than one.
    struct WantedHolders {
        std::size_t count = 1;
        /// When all `count` holders were last needed.
        Moment neededAt {};
    };

    [[nodiscard]] auto holders(const PlacementRequest&, const Fleet&) const -> Candidates;
    [[nodiscard]] auto loadCandidates(const PlacementRequest&, const Fleet&) const -> Candidates;
    [[nodiscard]] auto bestHolder(const PlacementRequest&, const Fleet&, Moment now) -> std::optional<Candidate>;
    [[nodiscard]] auto anyHolder(const PlacementRequest&, const Fleet&) -> std::optional<Fleet::Index>;
    auto updateWantedHolders(const ModelName&, const Candidates&, Duration loadCost, Moment now) -> std::size_t;
    auto pickBetterOfTwo(const Candidates&, std::size_t among) -> Candidate;
    auto nextRandom() noexcept -> std::uint64_t;

    std::uint64_t random_;
    std::unordered_map<ModelName, WantedHolders> wantedHolders_;
};

} // namespace eelgrass::decisions
