#pragma once

#include <gio/gio.h>

namespace eelgrass::wire {

/// Closes `listener` unless a connection waits to be accepted, which the close would reset. Returns whether it is
/// closed.
[[nodiscard]] auto closeIfDrained(GSocket* listener) -> bool;

} // namespace eelgrass::wire
