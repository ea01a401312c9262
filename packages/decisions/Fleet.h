#pragma once

#include "decisions/TargetView.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrass::decisions {

/// An entry's view of all targets, indexed by the service and by the adapters that they hold, so that placing a request
/// examines a few targets instead of the whole fleet.
///
/// ```cpp
/// fleet.put({ .id = id, .serves = "base" });
/// fleet.report(id, report, now);
/// for (auto index : fleet.holders(model)) use(fleet.views()[index]);
/// ```
class Fleet {
public:
    using Index = std::uint32_t;
    /// The targets of one service and, at the same positions, the hashes of their names.
    struct Group {
        std::vector<Index> targets;
        std::vector<std::uint64_t> hashes;
    };

    /// Adds a target, or replaces its view.
    auto put(TargetView view) -> void;
    /// Removes a target. The last view moves to the index of the removed one.
    auto remove(const TargetId& target) -> void;
    /// Updates a target's view from its report; ignored for unknown targets.
    auto report(const TargetId& target, TargetReport report, Moment now) -> void;
    /// Records that a request for `model` was sent to the target.
    auto sent(Index index, const ModelName& model, Moment now) -> void;
    /// Resets the known load of a target from which no further reports are expected.
    auto forgetLoad(const TargetId& target) -> void;
    auto setLeaving(const TargetId& target, bool leaving) -> void;
    auto setReachable(const TargetId& target, bool reachable) -> void;
    auto setSlowness(const TargetId& target, double slowness) -> void;

    [[nodiscard]] auto views() const noexcept -> const std::vector<TargetView>& { return views_; }
    /// Returns null if the target is unknown.
    [[nodiscard]] auto find(const TargetId& target) const -> const TargetView*;
    [[nodiscard]] auto hash(Index index) const noexcept -> std::uint64_t { return hashes_[index]; }
    [[nodiscard]] auto serving(const std::string& serves) const -> const Group&;
    /// Targets that hold the adapter, or will soon load it for requests already sent.
    [[nodiscard]] auto holders(const ModelName& model) const -> std::span<const Index>;
    /// Known number of loads that wait at all targets together.
    [[nodiscard]] auto loadsWaiting() const noexcept -> std::size_t { return loadsWaiting_; }

private:
    auto indexOf(const TargetId&) const -> const Index*;
    auto addToIndexes(Index) -> void;
    auto removeFromIndexes(Index) -> void;
    auto addHolder(const ModelName&, Index) -> void;
    auto removeHolder(const ModelName&, Index) -> void;

    std::vector<TargetView> views_;
    std::vector<std::uint64_t> hashes_;
    std::unordered_map<TargetId, Index> indexById_;
    std::unordered_map<std::string, Group> groupsByService_;
    std::unordered_map<ModelName, std::vector<Index>> holdersByModel_;
    std::size_t loadsWaiting_ = 0;
};

/// Whether the target held the adapter at its last report.
[[nodiscard]] auto holds(const TargetView&, const ModelName&) -> bool;

} // namespace eelgrass::decisions
