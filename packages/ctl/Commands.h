#pragma once

#include "ctl/ExitCode.h"
#include "ctl/Invocation.h"

#include <string_view>

namespace eelgrass::ctl {

/// Runs one command of `eelgrassctl`.
///
/// ```cpp
/// auto code = run({ .words = { "status" }, .entry = url, .keyFile = file }, { std::cout, std::cerr });
/// ```
[[nodiscard]] auto run(const Invocation&, const Streams&) -> ExitCode;

/// What `--help` shows: the commands and the exit codes.
[[nodiscard]] auto usage() -> std::string_view;

} // namespace eelgrass::ctl
