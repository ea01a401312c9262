#include "serving/KeptRateLimits.h"

namespace eelgrass::serving {

namespace {

// Permits of a limited replica are asked for all the time; without a request the limit has ended or the replica is
// gone.
constexpr auto retention = Duration(60s);

} // namespace

auto KeptRateLimits::apply(const ReplicaRateLimit& limit, std::string_view source, Moment now) -> bool
{
    prune(now);
    if (!kept_.contains(limit.start.instance) && !limit.statement.perSecond)
        return false;
    auto& kept = kept_[limit.start.instance];
    if (!kept.start.instance.empty() && !sameStart(kept.start, limit.start)) {
        // An answer of an earlier start that comes late says nothing about the current one.
        if (limit.start.startTime < kept.start.startTime)
            return false;
        kept = {};
    }
    kept.start = limit.start;
    kept.usedAt = now;
    const auto before = kept.arrivals.announced().perSecond();
    const auto change = kept.arrivals.apply(limit.statement, now);
    recordRateLimitChange(metrics_, change, limit, before, source, now);
    return change != decisions::AnnouncedRateLimit::Change::None;
}

auto KeptRateLimits::find(const ReplicaStart& start) -> decisions::LimitedArrivals*
{
    const auto found = kept_.find(start.instance);
    return found == kept_.end() || !sameStart(found->second.start, start) ? nullptr : &found->second.arrivals;
}

auto KeptRateLimits::statements() const -> std::vector<ReplicaRateLimit>
{
    auto list = std::vector<ReplicaRateLimit>();
    for (const auto& [instance, kept] : kept_) {
        if (const auto& last = kept.arrivals.announced().last())
            list.push_back({ kept.start, *last });
    }
    return list;
}

auto KeptRateLimits::prune(Moment now) -> void
{
    std::erase_if(kept_, [&](const auto& entry) {
        const auto old = now - entry.second.usedAt > retention;
        if (old)
            forgetRateLimitGauge(metrics_, entry.first);
        return old;
    });
}

} // namespace eelgrass::serving
