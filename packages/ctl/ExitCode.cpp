#include "ctl/ExitCode.h"

namespace eelgrass::ctl {

auto exitCodeFor(int status) noexcept -> ExitCode
{
    switch (status) {
    case 401:
    case 403:
        return ExitCode::NotAllowed;
    case 404:
        return ExitCode::NotFound;
    case 412:
        return ExitCode::Stale;
    default:
        break;
    }
    if (status >= 200 && status < 300)
        return ExitCode::Done;
    if (status >= 400 && status < 500)
        return ExitCode::Refused;
    return status >= 500 ? ExitCode::Unavailable : ExitCode::Failed;
}

} // namespace eelgrass::ctl
