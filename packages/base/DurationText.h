#pragma once

#include "base/Clock.h"

#include <string>

namespace eelgrass {

/// A duration in whole milliseconds, for log lines.
[[nodiscard]] inline auto millisecondsText(Duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace eelgrass
