#pragma once

#include "decisions/LoadQueue.h"
#include "wire/MainLoop.h"

#include <map>

namespace eelgrass::router {

/// Holds the load queue for the target processes that ask this entry. It is advisory and kept in memory: a lost entry
/// costs one expiry and nothing else.
class LoadQueueController {
public:
    explicit LoadQueueController(wire::MainLoop& loop)
        : loop_(loop)
    {
    }

    /// True when the target's turn has come; false when the target asked again meanwhile.
    [[nodiscard]] auto requestTurn(const decisions::LoadRequest& ask) -> kj::Promise<bool>;
    auto releaseTurn(const TargetId& target) -> void;

private:
    auto grant() -> void;

    wire::MainLoop& loop_;
    decisions::LoadQueue queue_;
    std::map<TargetId, kj::Own<kj::PromiseFulfiller<bool>>> waiting_;
    Timer expiry_;
};

} // namespace eelgrass::router
