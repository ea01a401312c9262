#include "serving/MemberTable.h"

namespace eelgrass::serving {

MemberTable::MemberTable(const ServingConfiguration& configuration)
    : keysRequired_(!configuration.members.empty())
{
    for (const auto& member : configuration.members) {
        for (const auto& key : member.keys) {
            if (!key.empty())
                byKey_.emplace(key.str(), &member);
        }
    }
}

auto MemberTable::find(std::string_view key) const -> const MemberRecord*
{
    const auto found = byKey_.find(std::string(key));
    return found == byKey_.end() ? nullptr : found->second;
}

} // namespace eelgrass::serving
