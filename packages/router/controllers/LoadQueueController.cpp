#include "router/controllers/LoadQueueController.h"

namespace eelgrass::router {

auto LoadQueueController::requestTurn(const decisions::LoadRequest& request) -> kj::Promise<bool>
{
    auto pair = kj::newPromiseAndFulfiller<bool>();
    auto& waiting = waiting_[request.target];
    if (waiting)
        waiting->fulfill(false);
    waiting = kj::mv(pair.fulfiller);
    queue_.enqueue(request);
    grantTurns();
    return kj::mv(pair.promise);
}

auto LoadQueueController::releaseTurn(const TargetId& target) -> void
{
    queue_.withdraw(target);
    if (const auto left = waiting_.find(target); left != waiting_.end()) {
        left->second->fulfill(false);
        waiting_.erase(left);
    }
    queue_.release(target);
    grantTurns();
}

auto LoadQueueController::grantTurns() -> void
{
    for (const auto& target : queue_.grants(now())) {
        const auto waiting = waiting_.find(target);
        if (waiting == waiting_.end() || !waiting->second->isWaiting()) {
            // The target's session is closed, so nobody would use the turn.
            queue_.release(target);
            if (waiting != waiting_.end())
                waiting_.erase(waiting);
            return grantTurns();
        }
        waiting->second->fulfill(true);
        waiting_.erase(waiting);
    }
    expiryTimer_ = {};
    if (const auto ends = queue_.grantExpiresAt())
        expiryTimer_ = loop_.timers().after(std::max(*ends - now(), Duration(1ms)), [this] { grantTurns(); });
}

} // namespace eelgrass::router
