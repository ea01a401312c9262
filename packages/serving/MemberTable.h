#pragma once

#include "serving/Types.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace eelgrass::serving {

/// Maps API keys to members.
class MemberTable {
public:
    MemberTable() = default;
    /// `configuration` must outlive the table.
    explicit MemberTable(const ServingConfiguration& configuration);

    /// The member that holds `key`; null for an unknown or empty key.
    [[nodiscard]] auto find(std::string_view key) const -> const MemberRecord*;
    /// Whether no member is configured. Callers need no key then.
    [[nodiscard]] auto empty() const noexcept -> bool { return !keysRequired_; }

private:
    std::unordered_map<std::string, const MemberRecord*> byKey_;
    bool keysRequired_ = false;
};

} // namespace eelgrass::serving
