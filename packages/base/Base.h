#pragma once

/// Umbrella header of the base package: ids, units, errors, logs, timers.
#include "base/Clock.h"
#include "base/DeferredCalls.h"
#include "base/Endpoint.h"
#include "base/Error.h"
#include "base/Ids.h"
#include "base/Log.h"
#include "base/LogQueue.h"
#include "base/Secrets.h"
#include "base/SettingsReader.h"
#include "base/TimerService.h"
