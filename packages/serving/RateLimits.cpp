#include "serving/RateLimits.h"

#include "base/Log.h"

namespace eelgrass::serving {

namespace {

using decisions::AnnouncedRateLimit;

constexpr auto limitGauge = "eelgrass_replica_rate_limit";

auto rateText(const std::optional<double>& perSecond) -> std::string
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

auto toString(AnnouncedRateLimit::Change change) noexcept -> std::string_view
{
    switch (change) {
    case AnnouncedRateLimit::Change::None:
        break;
    case AnnouncedRateLimit::Change::Learned:
        return "replica rate limit learned";
    case AnnouncedRateLimit::Change::Changed:
        return "replica rate limit changed";
    case AnnouncedRateLimit::Change::Ended:
        return "replica rate limit ended";
    }
    return {};
}

} // namespace

auto RateLimits::observe(Replica& replica, const hosting::AnswerMetadata& answer, Moment requestedAt, Moment now)
    -> void
{
    if (answer.rateLimitInvalid)
        log::warn("replica rate limit invalid", { { "replica", replica.id().str() } });
    // Only an answer that the replica itself has made can end its limit; a refusal may come from something before it.
    const auto canEnd = answer.sealed && !answer.rateLimitInvalid;
    if (answer.otherInstance || (!answer.rateLimit && !(canEnd && replica.rateLimit().perSecond())))
        return;
    apply(replica, { answer.rateLimit, requestedAt, now }, "answer");
}

auto RateLimits::apply(Replica& replica, const decisions::RateLimitStatement& statement, std::string_view source)
    -> void
{
    const auto before = replica.rateLimit().perSecond();
    const auto change = replica.rateLimit().apply(statement);
    if (change == AnnouncedRateLimit::Change::None)
        return;
    log::info(toString(change),
        { { "replica", replica.id().str() }, { "per_second", rateText(statement.perSecond) },
            { "before", rateText(before) }, { "source", std::string(source) } });
    const auto labels = std::map<std::string, std::string> { { "replica", replica.id().str() } };
    if (statement.perSecond)
        metrics_.set(limitGauge, labels, *statement.perSecond);
    else
        metrics_.unset(limitGauge, labels);
}

auto RateLimits::countSend(const Replica& replica) -> void
{
    if (replica.rateLimit().perSecond())
        metrics_.count("eelgrass_sends_to_limited_total", {});
}

} // namespace eelgrass::serving
