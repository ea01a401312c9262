#pragma once

#include "serving/Types.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

/// Limits on the attempts, times and buffers of a request.
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

// Highest priority number that a replica is sent; 0 is the most urgent.
inline constexpr auto lowestPriority = 9U;
// Sends of one attempt, including those that a replica refused. After a third refusal the service is taken to be full.
inline constexpr auto maxSends = 4U;
// Number of replicas that may refuse a request because it would start late. Each refusal costs a round trip, and if all
// replicas are late, asking more of them does not help.
inline constexpr auto maxLateRedirects = 2U;
// Time reserved so that the answer reaches the client before its deadline.
inline constexpr auto answerMargin = Duration(40ms);
// A request is not sent with less time left than this, which covers a round trip within a zone and the shortest run.
inline constexpr auto minTimeToSend = Duration(10ms);
// How long a request waits for the first configuration. A process that has just started gets it within some tens of
// milliseconds; a refused client would retry much later.
inline constexpr auto configurationWait = Duration(250ms);
// Delay before the next choice when no replica can be tried, for example because replicas are avoided after failures or
// sessions with their agents are being opened.
inline constexpr auto placementRetryDelay = Duration(25ms);
// Time limit for opening a session with an agent, which usually takes a few milliseconds, and a few hundred on a slow
// host.
inline constexpr auto sessionOpenLimit = Duration(400ms);
// How often a pending admission checks that its agent still responds.
inline constexpr auto agentCheckInterval = Duration(250ms);
// After this silence another replica is searched for a stream that can be resumed, well before its client gives up,
// which takes at least two seconds.
inline constexpr auto streamSilenceLimit = Duration(1200ms);
// Time to find another replica for a stream, send it there and get an event.
inline constexpr auto moveTime = Duration(800ms);
// The same for a request whose answer is not a stream; at least so many times its mean time at the replica.
inline constexpr auto plainMoveTime = Duration(200ms);
inline constexpr auto plainMoveRuns = 4;
// When another replica is searched again for a silent run, after a search that found none.
inline constexpr auto nextSearchDelay = Duration(300ms);
// A replica counts as failed if, when a request's deadline passes, the request was sent longer ago than this and
// the replica has sent no event. Prefill takes less than a second.
inline constexpr auto failureSilence = Duration(1500ms);
// An agent that restarts or was suspended for a moment is back within this time.
inline constexpr auto agentReturnTime = Duration(2s);
// Retry-After for requests that no replica can serve before an agent returns; about as often is a lost agent tried
// again.
inline constexpr auto agentReturnInterval = std::chrono::milliseconds(500);
// Reason for ending a request that crashes the replicas that run it.
inline constexpr auto crashingReason = "breaks off wherever it runs";
// Reason in log lines for requests that are not sent because the replica leaves.
inline constexpr auto leavingReason = "replica leaving";
// Reason in log lines for requests that are not sent because a newer version of their adapter has been named.
inline constexpr auto outdatedReason = "older version at the replica";
// Reason in log lines for streams that are not sent to a replica because it runs another software version.
inline constexpr auto otherSoftwareReason = "another software version at the replica";
// Reasons for refusing a stream that a client resumes: it names no attempt, or several; nobody knows where the stream
// began; its route does not lead to that service any more; no replica of its version is left.
inline constexpr auto unnamedStreamReason = "no attempt named";
inline constexpr auto unknownStreamReason = "stream not known";
inline constexpr auto otherServiceReason = "stream of another service";
inline constexpr auto versionGoneReason = "no replica of the stream's version";
// A retry has to be written within this time of its grant, so that it reaches its replica in the window that it counts
// for; longer than a connection takes to be made.
inline constexpr auto retryGrantLifetime = Duration(500ms);
// Reason for ending a request because all entries together have sent as many retries as they may.
inline constexpr auto retryBudgetReason = "retry budget spent";
// Reason in log lines for requests that are not sent because their retry was granted too long ago.
inline constexpr auto staleGrantReason = "retry granted too long ago";
// Reason in log lines for requests that a replica's rate limit delays or refuses.
inline constexpr auto rateLimitReason = "over the replica's rate limit";
// Reason in log lines for requests that are not sent because the replica asked this host for rest.
inline constexpr auto restReason = "the replica asked for rest";
// Retry-After for clients when there is no estimate; by then a replica has usually recovered or has a free slot.
inline constexpr auto defaultRetryAfter = std::chrono::milliseconds(300);
// Reason for ending or refusing a request because the entry's stop runs out before the request would.
inline constexpr auto stopReason = "the entry stops";
// Retry-After for clients that another entry can serve at once.
inline constexpr auto otherEntryRetryAfter = std::chrono::milliseconds(10);
// Bytes buffered for a slow client before reading from its replica pauses.
inline constexpr auto maxBacklog = std::size_t(256) << 10U;
// An event of a stream is passed on when it is whole; a longer one is taken for bytes without end.
inline constexpr auto maxEventBytes = std::size_t(256) << 10U;
// Upper bound on the slowness factor of a replica, so that a slow replica is still tried and can show that it has
// recovered.
inline constexpr auto maxSlowness = 8.0;

/// How long clients wait for a stream's next event, whatever their deadline.
[[nodiscard]] inline auto clientEventTimeout(const RouteRecord& route) -> Duration
{
    constexpr auto minimum = Duration(2s);
    constexpr auto aimFactor = 4;
    constexpr auto pauseFactor = 8;
    return std::max(
               { minimum, aimFactor * Duration(route.latencyTarget), pauseFactor * Duration(route.eventGapTarget) })
        - answerMargin;
}

} // namespace eelgrass::serving::detail
