#pragma once

#include "platform/AnswerHeaders.h"
#include "serving/Types.h"

#include <string_view>

namespace eelgrass::serving {

/// Writes the log line for a statement that cannot be followed as it is written; nothing for any other.
auto recordInvalidAvailability(const InstanceId& replica, const hosting::AvailabilityStatement& said) -> void;

/// Writes the log line for a rest that a replica has asked for: `left` from now, as heard from `source`. `extended` if
/// the replica was at rest already.
auto recordRest(const InstanceId& replica, Duration left, bool extended, std::string_view source) -> void;

/// Writes the log line for the end of a rest that was asked for `age` ago.
auto recordRestEnd(const InstanceId& replica, Duration age, std::string_view reason) -> void;

} // namespace eelgrass::serving
