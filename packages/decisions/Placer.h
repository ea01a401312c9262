#pragma once

#include "decisions/Fleet.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace eelgrass::decisions {

/// What placement needs to know of a request.
struct PlacementRequest {
    /// Empty for a plain service.
    ModelName model;
    std::string serves;
    AvailabilityZone zone;
    /// Targets that refused it already.
    std::vector<TargetId> tried;
};

/// One target as placement sees it for a request.
struct Explanation {
    enum class Reason { Holds, LoadComing, MustLoad, Tried, Leaving, Unreachable };

    TargetId target;
    Reason reason = Reason::MustLoad;
    /// When the request would start there; zero for what may not take it.
    Duration expectedStart {};
    /// What one more holder of the adapter would cost all who wait for loads.
    Duration loadCost {};
    double slowness = 1;

    /// Whether the request may go there.
    [[nodiscard]] auto usable() const noexcept -> bool { return reason <= Reason::MustLoad; }
};
[[nodiscard]] auto toString(Explanation::Reason) noexcept -> std::string_view;

/// Chooses the target of a request by the least expected start among those that hold its adapter and a few that could.
///
/// Load made for: skewed demand over far more adapters than slots, and reports that are late.
/// Harm prevented: loads that nobody needed, entries that all choose the same idle target, a popular adapter bound to
/// one full target, requests sent to a slow one.
/// The reasons of the limits stand with the constants in Placer.cpp; docs/DECISIONS.md has the measurements.
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

    /// Empty when no target may take the request.
    [[nodiscard]] auto choose(const PlacementRequest&, const Fleet&, Moment now) -> std::optional<Fleet::Index>;
    /// The candidates as `choose` sees them, best first. Changes nothing.
    [[nodiscard]] auto explain(const PlacementRequest&, const Fleet&) const -> std::vector<Explanation>;
    /// Holders that placement uses for the adapter now.
    [[nodiscard]] auto wantedHolders(const ModelName& model) const -> std::size_t;

private:
    static constexpr auto mostCandidates = std::size_t(8);
    struct Candidate {
        Fleet::Index index = 0;
        std::uint64_t score = 0;
        Duration cost {};
    };
    /// A bounded list on the stack: a placement allocates nothing that grows with the fleet.
    struct Candidates {
        std::array<Candidate, mostCandidates> at;
        std::size_t count = 0;
    };
    /// More than one holder is wanted; kept for such adapters alone.
    struct Wanted {
        std::size_t count = 1;
        Moment neededAt {};
    };

    [[nodiscard]] auto holders(const PlacementRequest&, const Fleet&) const -> Candidates;
    [[nodiscard]] auto newcomers(const PlacementRequest&, const Fleet&) const -> Candidates;
    [[nodiscard]] auto bestHolder(const PlacementRequest&, const Fleet&, Moment now) -> std::optional<Candidate>;
    [[nodiscard]] auto busyHolder(const PlacementRequest&, const Fleet&) -> std::optional<Fleet::Index>;
    auto updateWanted(const ModelName&, const Candidates&, Duration loadCost, Moment now) -> std::size_t;
    auto pickOfTwo(const Candidates&, std::size_t among) -> Candidate;
    auto next() noexcept -> std::uint64_t;

    std::uint64_t random_;
    std::unordered_map<ModelName, Wanted> wanted_;
};

} // namespace eelgrass::decisions
