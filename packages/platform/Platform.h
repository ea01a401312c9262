#pragma once

/// Umbrella header of the platform package: clients of the tables, objects and host list.
#include "platform/PlatformClient.h"
