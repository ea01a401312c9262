#include "serving/AvailabilityRecord.h"

#include "base/DurationText.h"
#include "base/Log.h"
#include "decisions/RequestedRest.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using decisions::RequestedRest;

} // namespace

auto recordInvalidAvailability(const InstanceId& replica, const hosting::AvailabilityStatement& said) -> void
{
    const auto tooLong = said.rest && *said.rest > RequestedRest::maxRest;
    const auto problem = tooLong ? std::string_view("longer than is granted") : said.restProblem;
    if (!problem.empty()) {
        log::warn("replica rest invalid",
            { { "replica", replica.str() }, { "reason", std::string(problem) },
                { "rest_ms", said.rest ? millisecondsText(std::min(*said.rest, RequestedRest::maxRest)) : "" } });
    }
    if (said.leavingInvalid)
        log::warn("replica leaving invalid", { { "replica", replica.str() } });
}

auto recordRest(const InstanceId& replica, Duration left, bool extended, std::string_view source) -> void
{
    log::info(extended ? "replica rest extended" : "replica rest requested",
        { { "replica", replica.str() }, { "rest_ms", millisecondsText(left) }, { "source", std::string(source) } });
}

auto recordRestEnd(const InstanceId& replica, Duration age, std::string_view reason) -> void
{
    log::info("replica rest ended",
        { { "replica", replica.str() }, { "reason", std::string(reason) }, { "age_ms", millisecondsText(age) } });
}

} // namespace eelgrass::serving
