#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace eelgrass {

/// Callbacks that are told of an event, each until its subscription is dropped.
///
/// ```cpp
/// subscription_ = subscribers.add([this] { stop(); });
/// subscribers.notify();
/// ```
class Subscribers {
public:
    using Callback = std::function<void()>;
    using Subscription = std::shared_ptr<const Callback>;

    [[nodiscard]] auto add(Callback callback) -> Subscription
    {
        std::erase_if(callbacks_, [](const auto& known) { return known.expired(); });
        auto subscription = std::make_shared<const Callback>(std::move(callback));
        callbacks_.push_back(subscription);
        return subscription;
    }
    /// Tells all of them; a callback may add and drop subscriptions.
    auto notify() -> void
    {
        const auto callbacks = callbacks_;
        for (const auto& known : callbacks) {
            if (const auto callback = known.lock())
                (*callback)();
        }
    }

private:
    std::vector<std::weak_ptr<const Callback>> callbacks_;
};

} // namespace eelgrass
