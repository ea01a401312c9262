#pragma once

#include "ctl/EntryClient.h"
#include "ctl/ExitCode.h"
#include "ctl/Invocation.h"

#include <functional>

namespace eelgrass::ctl {

/// Writes a result for a person.
using Printer = std::function<void(std::ostream&, const Json&)>;

/// Writes an answer as JSON or by `printer`, an error to `err`; returns the exit code that fits.
[[nodiscard]] auto show(const Invocation&, const Streams&, const EntryAnswer&, const Printer& printer) -> ExitCode;

auto printDocument(std::ostream& out, const Json& document) -> void;
auto printVersion(std::ostream& out, const Json& accepted) -> void;
auto printHistory(std::ostream& out, const Json& history) -> void;
auto printStatus(std::ostream& out, const Json& status) -> void;
auto printExplanation(std::ostream& out, const Json& explanation) -> void;

} // namespace eelgrass::ctl
