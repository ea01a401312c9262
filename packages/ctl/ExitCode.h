#pragma once

namespace eelgrass::ctl {

/// How a command ended, for scripts. Listed in docs/OPERATIONS.md; numbers never change their meaning.
enum class ExitCode {
    Done = 0,
    /// The answer could not be understood.
    Failed = 1,
    /// Bad arguments, or settings with problems.
    Usage = 2,
    /// The configuration changed meanwhile; read it again.
    Stale = 3,
    NotFound = 4,
    NotAllowed = 5,
    /// The request was understood and refused.
    Refused = 6,
    /// The entry or the platform behind it is away; trying again may help.
    Unavailable = 7,
};

/// The exit code for an answer's status; any 2xx is `Done`.
[[nodiscard]] auto exitCodeFor(int status) noexcept -> ExitCode;

} // namespace eelgrass::ctl
