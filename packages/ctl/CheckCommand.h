#pragma once

#include "ctl/ExitCode.h"
#include "ctl/Invocation.h"

namespace eelgrass::ctl {

/// `check FILE`: every problem of a settings file, without an entry. Without `--role` the file is taken for a target's
/// when it has a `target`.
[[nodiscard]] auto checkSettings(const Invocation&, const Streams&) -> ExitCode;

} // namespace eelgrass::ctl
