#pragma once

#include "serving/Replica.h"

#include <map>

namespace eelgrass::serving {

/// What replicas have said that are not listed any more. A replica's registration expires while the platform's store is
/// away, and the same start is listed again afterwards; what it has said still holds then.
class DepartedReplicas {
public:
    auto remember(const Replica& replica, Moment now) -> void
    {
        std::erase_if(departed_, [&](const auto& entry) { return now - entry.second.at > retention; });
        departed_[replica.id()] = { replica.record().start, replica.announced(), now };
    }
    /// What this start had said when it was removed; nothing if it was not known, or is a new one.
    [[nodiscard]] auto recall(const ReplicaStart& start) const -> ReplicaAnnouncements
    {
        const auto found = departed_.find(start.instance);
        const auto known = found != departed_.end() && sameStart(found->second.start, start);
        return known ? found->second.announced : ReplicaAnnouncements {};
    }

private:
    /// A rest is over by then, and a replica that leaves is gone.
    static constexpr auto retention = decisions::RequestedRest::maxRest;

    struct Departed {
        ReplicaStart start;
        ReplicaAnnouncements announced;
        Moment at {};
    };
    std::map<InstanceId, Departed> departed_;
};

} // namespace eelgrass::serving
