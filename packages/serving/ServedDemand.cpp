#include "serving/ServedDemand.h"

#include "base/DurationText.h"
#include "base/Log.h"

namespace eelgrass::serving {

namespace {

// A key without a request for this long is no longer asked for.
constexpr auto memory = Duration(30s);
constexpr auto maxKeys = std::size_t(256);
// A key counts as starved once it has been requested this often, over this time, and never served.
constexpr auto starvedRequests = std::size_t(4);
constexpr auto starvedTime = Duration(8s);
constexpr auto requestsGauge = "eelgrass_unserved_requests";

auto labelsOf(const decisions::ServiceKey& key) -> std::map<std::string, std::string>
{
    return { { "what", decisions::toString(key.kind) }, { "name", key.name } };
}

auto isStarved(const decisions::UnservedRequests& requests) -> bool
{
    return requests.count >= starvedRequests && requests.lastAt - requests.firstAt >= starvedTime;
}

} // namespace

ServedDemand::ServedDemand(router::Metrics& metrics)
    : metrics_(metrics)
    , unserved_(memory, maxKeys)
{
}

auto ServedDemand::note(const Ended& ended, const std::vector<decisions::ServiceKey>& keys) -> void
{
    served_ += ended.served ? 1 : 0;
    for (const auto& key : keys) {
        if (!key.name.empty())
            ended.served ? noteServed(key, ended.at) : noteUnserved(key, ended);
    }
}

auto ServedDemand::noteServed(const decisions::ServiceKey& key, Moment now) -> void
{
    const auto requests = unserved_.served(key);
    if (!requests)
        return;
    hideUnserved(key);
    metrics_.observe("eelgrass_unserved_seconds", { { "what", decisions::toString(key.kind) } }, requests->age(now));
    if (!isStarved(*requests))
        return;
    log::info("served again",
        { { "what", decisions::toString(key.kind) }, { "name", key.name },
            { "requests", std::to_string(requests->count) }, { "unserved_ms", millisecondsText(requests->age(now)) } });
}

auto ServedDemand::noteUnserved(const decisions::ServiceKey& key, const Ended& ended) -> void
{
    const auto* known = unserved_.find(key);
    const auto wasStarved = known && isStarved(*known);
    const auto& requests
        = unserved_.refused(key, ended.at, [this](const decisions::ServiceKey& forgotten) { hideUnserved(forgotten); });
    const auto before = servedBefore_.try_emplace(key, served_).first->second;
    showUnserved(key, requests);
    if (!isStarved(requests) || wasStarved)
        return;
    metrics_.count("eelgrass_starved_total", { { "what", decisions::toString(key.kind) } });
    log::warn("not served",
        { { "what", decisions::toString(key.kind) }, { "name", key.name },
            { "requests", std::to_string(requests.count) }, { "unserved_ms", millisecondsText(requests.age(ended.at)) },
            { "reason", std::string(ended.reason) }, { "served_meanwhile", std::to_string(served_ - before) } });
}

auto ServedDemand::showUnserved(const decisions::ServiceKey& key, const decisions::UnservedRequests& requests) -> void
{
    // One refused request is no pattern, and would bring every adapter of an overloaded fleet into the metrics.
    if (requests.count > 1)
        metrics_.set(requestsGauge, labelsOf(key), static_cast<double>(requests.count));
}

auto ServedDemand::hideUnserved(const decisions::ServiceKey& key) -> void
{
    servedBefore_.erase(key);
    metrics_.unset(requestsGauge, labelsOf(key));
}

auto ServedDemand::expire(Moment now) -> void
{
    unserved_.expire(now, [this](const decisions::ServiceKey& key) { hideUnserved(key); });
}

} // namespace eelgrass::serving
