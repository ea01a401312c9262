#pragma once

#include "base/Endpoint.h"

#include <string>

namespace eelgrass::tests {

/// Entry in the platform's list for a replica of the service `plain`, `engine` or another one of the test's.
[[nodiscard]] auto replicaEntry(const std::string& service, const Endpoint& endpoint) -> std::string;

} // namespace eelgrass::tests
