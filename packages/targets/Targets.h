#pragma once

/// Umbrella header of the targets package: clients of model engines and plain services.
#include "targets/EngineClient.h"
#include "targets/ServiceClient.h"
