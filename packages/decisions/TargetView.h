#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace eelgrass::decisions {

/// State that a target reports with its answers and on changes.
struct TargetReport {
    bool leaving = false;
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t batchLimit = 1;
    std::size_t slots = 0;
    /// Queued requests that wait for a load.
    std::size_t awaitingLoad = 0;
    /// Adapters that queued requests wait for.
    std::size_t loadsWaiting = 0;
    /// Demand for the adapter that the next load would evict.
    double evictionCost = 0;
    /// Mean interval at which places of the batch become free when it is full.
    Duration placeTime = 250ms;
    std::vector<ModelName> resident;
    /// Of the target's engine; empty if it names none.
    SoftwareVersion software {};
};

/// An entry's view of a target. It is as old as the target's last report, so it is only a hint.
struct TargetView {
    /// An adapter that the target does not hold yet, but will load for a request that this entry sent.
    struct PendingLoad {
        ModelName model;
        Moment since {};
    };

    TargetId id;
    AvailabilityZone zone;
    /// Base model or plain service that the target serves.
    std::string serves;
    bool leaving = false;
    bool reachable = true;
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t batchLimit = 1;
    std::size_t slots = 0;
    std::size_t awaitingLoad = 0;
    std::size_t loadsWaiting = 0;
    double evictionCost = 0;
    Duration placeTime = 250ms;
    std::vector<ModelName> resident;
    /// Of the target's engine; empty if it names none, or if the target has not reported yet.
    SoftwareVersion software {};
    std::vector<PendingLoad> pendingLoads;
    /// Requests that this entry sent since the last report.
    std::size_t sentSinceReport = 0;
    Moment reportedAt {};
    /// Time to first token relative to the target's peers; 1 means equally fast.
    double slowness = 1;
};

} // namespace eelgrass::decisions
