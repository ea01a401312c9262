#pragma once

#include "platform/Store.h"
#include "router/Metrics.h"

namespace eelgrass::serving {

/// Returns a callback that counts calls to the platform's store by kind, table and outcome, and the bytes of their
/// answers by kind and table.
[[nodiscard]] auto storeCallCounter(router::Metrics& metrics) -> hosting::Store::OnCall;

} // namespace eelgrass::serving
