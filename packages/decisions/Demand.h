#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <unordered_map>

namespace eelgrass::decisions {

/// Recent demand for adapters: a count that halves with every half-life, so that yesterday's favourite fades.
///
/// It is kept for adapters that are not loaded too, within a bound: an adapter that returns is not a stranger.
///
/// ```cpp
/// demand.add(model, now);
/// auto recent = demand.of(model, now);
/// ```
class Demand {
public:
    explicit Demand(Duration halfLife, std::size_t limit) noexcept
        : halfLife_(halfLife)
        , limit_(limit)
    {
    }

    auto add(const ModelName& model, Moment now) -> void;
    [[nodiscard]] auto of(const ModelName& model, Moment now) const -> double;

private:
    struct Count {
        double value = 0;
        Moment at {};
    };
    [[nodiscard]] auto faded(const Count&, Moment now) const -> double;
    auto dropLeast(Moment now) -> void;

    Duration halfLife_;
    std::size_t limit_;
    std::unordered_map<ModelName, Count> counts_;
};

} // namespace eelgrass::decisions
