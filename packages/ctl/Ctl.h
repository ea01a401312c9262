#pragma once

/// Umbrella header of the ctl package: the operators' client.
#include "ctl/Commands.h"
#include "ctl/EntryClient.h"
#include "ctl/ExitCode.h"
#include "ctl/Invocation.h"
