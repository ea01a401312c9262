#pragma once

#include "serving/Types.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

/// Limits of a request's run: how often, how long, how much.
namespace eelgrass::serving::detail {

inline constexpr auto ok = 200;
inline constexpr auto badRequest = 400;
inline constexpr auto unauthorized = 401;
inline constexpr auto notFound = 404;
inline constexpr auto tooManyRequests = 429;
inline constexpr auto badGateway = 502;
inline constexpr auto unavailable = 503;
inline constexpr auto gatewayTimeout = 504;
inline constexpr auto firstServerError = 500;

// The last of the priorities that a replica is told.
inline constexpr auto leastUrgent = 9U;
// Sends of one attempt in all; refusals of replicas count. A third refusal tells that the service is full.
inline constexpr auto mostSends = 4U;
// Replicas that may send a request on because it would be late there; each costs the way there and back, and where all
// are late nothing is found by asking more.
inline constexpr auto mostSentOn = 2U;
// The answer must be on its way to the client before the client leaves.
inline constexpr auto answerMargin = Duration(40ms);
// A request is not sent with less than this left: the way there and back within a zone, and the least work.
inline constexpr auto leastTime = Duration(10ms);
// A process that has just started knows the configuration some ten milliseconds later; a caller that was refused would
// come back much later than that.
inline constexpr auto configurationWait = Duration(250ms);
// When no replica can be tried just now: one rests, or its agent is being reached.
inline constexpr auto placeAgain = Duration(25ms);
// For opening a session with an agent: usually a few milliseconds, some hundred on a slow host.
inline constexpr auto sessionOpenLimit = Duration(400ms);
// An agent that says nothing is looked at this often.
inline constexpr auto agentCheck = Duration(250ms);
// A stream that may go on elsewhere is left after this silence; well before its client leaves, which takes two seconds.
inline constexpr auto streamSilence = Duration(1200ms);
// A replica that has not begun to answer after this long, when the time is up, counts as failed: reading takes under a
// second.
inline constexpr auto longSilence = Duration(1500ms);
// Told to a caller when nothing is known of when to come back: a replica is back, or a place free, by then in most
// cases.
inline constexpr auto retryWhenUnknown = std::chrono::milliseconds(300);
// Bytes that a slow client may leave waiting before its replica is no longer read.
inline constexpr auto mostBacklog = std::size_t(256) << 10U;
// A slow replica counts as at most this much slower, so that it is tried again and can show that it has recovered.
inline constexpr auto slowestFactor = 8.0;

/// How long the users' clients wait for a stream's next event, whatever their deadline.
[[nodiscard]] inline auto patience(const RouteRecord& route) -> Duration
{
    constexpr auto least = Duration(2s);
    constexpr auto aims = 4;
    constexpr auto pauses = 8;
    return std::max({ least, aims * Duration(route.latencyTarget), pauses * Duration(route.eventGapTarget) })
        - answerMargin;
}

} // namespace eelgrass::serving::detail
