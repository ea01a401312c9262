#pragma once

/// Umbrella header of the router package.
#include "router/Configuration.h"
#include "router/EntryRole.h"
#include "router/Metrics.h"
#include "router/Settings.h"
#include "router/TargetRole.h"
