#pragma once

#include "decisions/LoadQueue.h"
#include "wire/MainLoop.h"

#include <map>

namespace eelgrass::router {

/// Holds the load queue, in which target processes wait for their turn to load an adapter from the weight store. The
/// queue is advisory and kept in memory: losing the entry that holds the queue costs the time in which one turn
/// expires, and nothing else.
class LoadQueueController {
public:
    explicit LoadQueueController(wire::MainLoop& loop)
        : loop_(loop)
    {
    }

    /// Resolves to `true` when the target's turn has come, and to `false` when a later request of the target replaces
    /// this one or the target releases its turn.
    [[nodiscard]] auto requestTurn(const decisions::LoadRequest& request) -> kj::Promise<bool>;
    /// Ends the target's turn or its wait for one.
    auto releaseTurn(const TargetId& target) -> void;

private:
    auto grantTurns() -> void;

    wire::MainLoop& loop_;
    decisions::LoadQueue queue_;
    std::map<TargetId, kj::Own<kj::PromiseFulfiller<bool>>> waiting_;
    Timer expiryTimer_;
};

} // namespace eelgrass::router
