#pragma once

#include "serving/Types.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrass::serving {

/// Finds the member that holds a key.
class MemberTable {
public:
    MemberTable() = default;
    /// `configuration` must outlive the table.
    explicit MemberTable(const ServingConfiguration& configuration);

    /// Null for a key that nobody holds, and for none.
    [[nodiscard]] auto find(std::string_view key) const -> const MemberRecord*;
    /// Whether callers are asked for a key at all.
    [[nodiscard]] auto empty() const noexcept -> bool { return !asked_; }

private:
    std::unordered_map<std::string, const MemberRecord*> byKey_;
    bool asked_ = false;
};

} // namespace eelgrass::serving
