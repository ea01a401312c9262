#include "serving/RateLimitRecord.h"

#include "base/Log.h"

namespace eelgrass::serving {

namespace {

using Change = decisions::AnnouncedRateLimit::Change;

constexpr auto gauge = "eelgrass_replica_rate_limit";

auto rateText(const std::optional<double>& perSecond) -> std::string
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

auto toString(Change change) noexcept -> std::string_view
{
    switch (change) {
    case Change::None:
        break;
    case Change::Learned:
        return "replica rate limit learned";
    case Change::Changed:
        return "replica rate limit changed";
    case Change::Ended:
        return "replica rate limit ended";
    }
    return {};
}

} // namespace

auto recordRateLimitChange(router::Metrics& metrics, Change change, const ReplicaRateLimit& limit,
    const std::optional<double>& before, std::string_view source, Moment now) -> void
{
    if (change == Change::None)
        return;
    const auto& perSecond = limit.statement.perSecond;
    log::info(toString(change),
        { { "replica", limit.start.instance.str() }, { "per_second", rateText(perSecond) },
            { "before", rateText(before) }, { "source", std::string(source) },
            { "age_ms", std::to_string(detail::millisecondsSince(limit.statement.answeredAt, now)) } });
    if (perSecond)
        metrics.set(gauge, { { "replica", limit.start.instance.str() } }, *perSecond);
    else
        forgetRateLimitGauge(metrics, limit.start.instance);
}

auto forgetRateLimitGauge(router::Metrics& metrics, const InstanceId& instance) -> void
{
    metrics.unset(gauge, { { "replica", instance.str() } });
}

} // namespace eelgrass::serving
