#pragma once

#include "base/Ids.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrass::router {

/// The adapters of a configuration, each as compact JSON text.
///
/// Made for 20,000 adapters of which a request reads one: text takes a fifth of the memory of a parsed document, and
/// reading one costs a request a few microseconds. A copy shares all shards with its origin, and a change copies one
/// shard only, so that a configuration change costs the same however many adapters there are.
///
/// ```cpp
/// auto next = table;
/// next.set(AdapterId("life"), R"({"base":"b"})");
/// ```
class AdapterTable {
public:
    [[nodiscard]] auto find(std::string_view name) const -> const std::string*;
    [[nodiscard]] auto size() const noexcept -> std::size_t { return size_; }
    auto set(const AdapterId& name, std::string text) -> void;
    auto erase(const AdapterId& name) -> void;
    /// In the order of names.
    auto each(const std::function<void(const AdapterId&, const std::string&)>& visit) const -> void;

private:
    using Shard = std::map<AdapterId, std::string>;
    // 20,000 adapters give shards of some eighty: a copy of one takes tens of microseconds.
    static constexpr auto shardCount = std::size_t(256);

    [[nodiscard]] static auto shardOf(std::string_view name) noexcept -> std::size_t;
    auto own(std::size_t shard) -> Shard&;

    std::array<std::shared_ptr<const Shard>, shardCount> shards_;
    std::size_t size_ = 0;
};

} // namespace eelgrass::router
