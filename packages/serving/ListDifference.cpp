#include "serving/ListDifference.h"

namespace eelgrass::serving {

auto fillChanges(wire::schema::ListChanges::Builder into, const ListDifference& difference) -> void
{
    into.setVersion(difference.version);
    into.setNewest(difference.newestVersion);
    into.setWhole(difference.whole);
    auto listed = into.initListed(static_cast<unsigned>(difference.listed.size()));
    for (auto index = 0U; index < listed.size(); ++index) {
        const auto& replica = difference.listed[index];
        listed[index].setInstance(replica.instance.str());
        listed[index].setEntry(kj::StringPtr(replica.text).asBytes());
        listed[index].setVersion(replica.version);
    }
    auto removed = into.initRemoved(static_cast<unsigned>(difference.removed.size()));
    for (auto index = 0U; index < removed.size(); ++index)
        removed.set(index, difference.removed[index].str());
}

auto readChanges(wire::schema::ListChanges::Reader changes) -> ListDifference
{
    auto difference = ListDifference {
        .version = changes.getVersion(), .newestVersion = changes.getNewest(), .whole = changes.getWhole()
    };
    for (auto replica : changes.getListed()) {
        const auto entry = replica.getEntry().asChars();
        difference.listed.push_back({ InstanceId(replica.getInstance().cStr()), std::string(entry.begin(), entry.end()),
            replica.getVersion() });
    }
    for (auto instance : changes.getRemoved())
        difference.removed.emplace_back(instance.cStr());
    return difference;
}

} // namespace eelgrass::serving
