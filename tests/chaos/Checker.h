#pragma once

#include "tests/chaos/History.h"

namespace eelgrass::chaos {

/// A promise that the history shows as broken.
struct Violation {
    std::string promise;
    std::string detail;

    auto operator==(const Violation&) const -> bool = default;
};

/// Tests every promise over a whole history. It looks at what was recorded alone, never at a clock.
[[nodiscard]] auto check(const History& history) -> std::vector<Violation>;

/// What became of a call, in one word; for counts.
[[nodiscard]] auto outcomeOf(const CallRecord& call) -> std::string;

} // namespace eelgrass::chaos
