#pragma once

#include "ctl/EntryClient.h"
#include "ctl/ExitCode.h"
#include "ctl/Invocation.h"

namespace eelgrass::ctl {

[[nodiscard]] auto getConfig(const Invocation&, const Streams&, EntryClient&) -> ExitCode;
[[nodiscard]] auto patchConfig(const Invocation&, const Streams&, EntryClient&) -> ExitCode;
[[nodiscard]] auto showHistory(const Invocation&, const Streams&, EntryClient&) -> ExitCode;

/// Each reads the adapter and submits a patch against the version that it read: a change of another operator in
/// between is refused as stale and never overwritten.
[[nodiscard]] auto createAdapter(const Invocation&, const Streams&, EntryClient&) -> ExitCode;
[[nodiscard]] auto addVersion(const Invocation&, const Streams&, EntryClient&) -> ExitCode;
[[nodiscard]] auto allowMember(const Invocation&, const Streams&, EntryClient&) -> ExitCode;

} // namespace eelgrass::ctl
