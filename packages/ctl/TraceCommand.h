#pragma once

#include "ctl/ExitCode.h"
#include "ctl/Invocation.h"

#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::ctl {

/// One line of a log that names a request.
struct TraceLine {
    /// As the process wrote it; lines of one format sort by it.
    std::string time;
    std::string process;
    std::string message;
    /// The other fields, as `name=value`, in the order of their names.
    std::vector<std::string> fields;
};

/// The lines of `log` that name the request, in their order; lines that are no JSON are passed over.
[[nodiscard]] auto traceLines(std::string_view log, const std::string& request) -> std::vector<TraceLine>;

/// `trace ID FILE...`: the story of one request from the logs of several processes, in order of time, with the age of
/// what each decision rested on. Asks no entry; `not found` when no line names the request.
[[nodiscard]] auto traceRequest(const Invocation&, const Streams&) -> ExitCode;

} // namespace eelgrass::ctl
