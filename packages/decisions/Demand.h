#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <unordered_map>

namespace eelgrass::decisions {

/// Recent demand for adapters: a request count that decays exponentially, so that formerly popular adapters lose their
/// rank.
///
/// The count is kept for adapters that are not loaded as well, up to `limit` adapters, so that an adapter that is
/// loaded again still has its earlier demand.
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
        Moment updatedAt {};
    };
    [[nodiscard]] auto decayed(const Count&, Moment now) const -> double;
    auto removeLowest(Moment now) -> void;

    Duration halfLife_;
    std::size_t limit_;
    std::unordered_map<ModelName, Count> counts_;
};

} // namespace eelgrass::decisions
