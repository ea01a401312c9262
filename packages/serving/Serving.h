#pragma once

/// Umbrella header of the serving package: the two roles on the users' machines.
#include "serving/AgentRole.h"
#include "serving/GatewayRole.h"
#include "serving/Settings.h"
