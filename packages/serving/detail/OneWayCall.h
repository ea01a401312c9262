#pragma once

#include "wire/MainLoop.h"

namespace eelgrass::serving::detail {

/// Sends a call whose answer says nothing. A failure means that the session is lost, which the session's own end tells
/// and logs; both sides then drop or repeat what they told each other.
template <typename Call> auto sendOneWay(wire::MainLoop& loop, Call&& call) -> void
{
    loop.spawn(call.send().ignoreResult().catch_([](kj::Exception&&) {}));
}

} // namespace eelgrass::serving::detail
