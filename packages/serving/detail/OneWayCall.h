#pragma once

#include "wire/MainLoop.h"

namespace eelgrass::serving::detail {

/// Sends a call whose result is empty. Errors are ignored: a call fails only when the session is lost, which the
/// session reports and logs itself; both sides then drop or resend their state.
template <typename Call> auto sendOneWay(wire::MainLoop& loop, Call&& call) -> void
{
    loop.spawn(call.send().ignoreResult().catch_([](kj::Exception&&) {}));
}

} // namespace eelgrass::serving::detail
