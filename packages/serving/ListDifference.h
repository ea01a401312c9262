#pragma once

#include "serving/Types.h"
#include "wire/generated/Agent.capnp.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// A replica's row in the platform's list, unparsed.
struct ListedReplica {
    InstanceId instance;
    std::string text;
    /// The row's version in the store.
    std::uint64_t version = 0;
};

/// The changes of the platform's list after a version of the store, as entries exchange them.
struct ListDifference {
    /// Contains every change up to this version of the store; 0 while the list is unknown.
    std::uint64_t version = 0;
    /// Contains no change after this version. Greater than `version` if the list changed while its pages were read.
    std::uint64_t newestVersion = 0;
    /// Whether `listed` is the whole list, so that a replica missing from it has been removed.
    bool whole = false;
    std::vector<ListedReplica> listed;
    std::vector<InstanceId> removed;
};

auto fillChanges(wire::schema::ListChanges::Builder into, const ListDifference& difference) -> void;
[[nodiscard]] auto readChanges(wire::schema::ListChanges::Reader changes) -> ListDifference;

} // namespace eelgrass::serving
