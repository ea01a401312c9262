#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace eelgrass::decisions {

/// What a target tells of itself, with its answers and on changes.
struct TargetReport {
    bool leaving = false;
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t batchLimit = 1;
    std::size_t slots = 0;
    /// Of those queued, the ones that wait for a load, and the adapters that they wait for.
    std::size_t awaitingLoad = 0;
    std::size_t loadsWaiting = 0;
    /// Demand for the adapter that the next load would push out.
    double evictionCost = 0;
    /// Mean time between two places of the batch becoming free, when it is full.
    Duration placeTime = 250ms;
    std::vector<ModelName> resident;
};

/// What an entry believes of a target. It is late by the age of the last report, so it serves as a hint only.
struct TargetView {
    /// An adapter that is not there yet, for which this entry sent a request.
    struct Coming {
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
    std::vector<Coming> coming;
    /// Requests this entry sent since the last report.
    std::size_t sentSinceReport = 0;
    Moment reportedAt {};
    /// Time to first token against the target's peers; 1 for as fast as they.
    double slowness = 1;
};

} // namespace eelgrass::decisions
