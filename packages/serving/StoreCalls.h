#pragma once

#include "platform/Store.h"
#include "router/Metrics.h"

namespace eelgrass::serving {

/// Returns a callback that counts calls to the platform's store by kind, table and outcome, and the bytes of their
/// answers by kind and table.
[[nodiscard]] auto storeCallCounter(router::Metrics& metrics) -> hosting::Store::OnCall;

/// Returns a callback that logs and counts that the store's clock was not steady.
[[nodiscard]] auto storeClockStepCounter(router::Metrics& metrics) -> hosting::Store::OnClockStep;

} // namespace eelgrass::serving
