#pragma once

#include "decisions/TargetView.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrass::decisions {

/// The targets as one entry believes them to be, with an index by what they serve and one by the adapters that they
/// hold, so that placing a request looks at a few of them and not at the whole fleet.
///
/// ```cpp
/// fleet.put({ .id = id, .serves = "base" });
/// fleet.report(id, report, now);
/// for (auto index : fleet.holders(model)) use(fleet.views()[index]);
/// ```
class Fleet {
public:
    using Index = std::uint32_t;
    /// Targets that serve the same, beside the hashes of their names.
    struct Group {
        std::vector<Index> targets;
        std::vector<std::uint64_t> hashes;
    };

    /// Adds a target, or replaces what is known of it.
    auto put(TargetView view) -> void;
    /// The last view takes the index of the removed one.
    auto remove(const TargetId& target) -> void;
    auto report(const TargetId& target, TargetReport report, Moment now) -> void;
    /// A request for `model` was sent there.
    auto sent(Index index, const ModelName& model, Moment now) -> void;
    /// No report will correct what is known of the target's load any more.
    auto forgetLoad(const TargetId& target) -> void;
    auto setLeaving(const TargetId& target, bool leaving) -> void;
    auto setReachable(const TargetId& target, bool reachable) -> void;
    auto setSlowness(const TargetId& target, double slowness) -> void;

    [[nodiscard]] auto views() const noexcept -> const std::vector<TargetView>& { return views_; }
    /// Null when it is not known.
    [[nodiscard]] auto find(const TargetId& target) const -> const TargetView*;
    [[nodiscard]] auto hash(Index index) const noexcept -> std::uint64_t { return hashes_[index]; }
    [[nodiscard]] auto serving(const std::string& serves) const -> const Group&;
    /// Targets that hold the adapter, or soon will for requests already sent.
    [[nodiscard]] auto holders(const ModelName& model) const -> std::span<const Index>;
    /// Loads that all targets wait for, as far as is known.
    [[nodiscard]] auto loadsWaiting() const noexcept -> std::size_t { return loadsWaiting_; }

private:
    auto indexOf(const TargetId&) const -> const Index*;
    auto addToIndexes(Index) -> void;
    auto removeFromIndexes(Index) -> void;
    auto addHolder(const ModelName&, Index) -> void;
    auto removeHolder(const ModelName&, Index) -> void;

    std::vector<TargetView> views_;
    std::vector<std::uint64_t> hashes_;
    std::unordered_map<TargetId, Index> byId_;
    std::unordered_map<std::string, Group> byService_;
    std::unordered_map<ModelName, std::vector<Index>> byModel_;
    std::size_t loadsWaiting_ = 0;
};

/// Whether the target holds the adapter by its last report.
[[nodiscard]] auto holds(const TargetView&, const ModelName&) -> bool;

} // namespace eelgrass::decisions
