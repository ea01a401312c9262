#include "serving/ServedDemand.h"

#include "base/DurationText.h"
#include "base/Log.h"

namespace eelgrass::serving {

namespace {

// A subject without a request for this long is no longer asked for.
constexpr auto memory = Duration(30s);
constexpr auto maxSubjects = std::size_t(256);
// A subject counts as starved once it has been requested this often, over this time, and never served.
constexpr auto starvedRequests = std::size_t(4);
constexpr auto starvedTime = Duration(8s);
constexpr auto requestsGauge = "eelgrass_unserved_requests";

auto labelsOf(const ServedDemand::Subject& subject) -> std::map<std::string, std::string>
{
    return { { "what", std::string(subject.what) }, { "name", subject.name } };
}

auto isStarved(const decisions::UnservedRequests& requests) -> bool
{
    return requests.count >= starvedRequests && requests.lastAt - requests.firstAt >= starvedTime;
}

} // namespace

ServedDemand::ServedDemand(router::Metrics& metrics)
    : metrics_(metrics)
    , unserved_(memory, maxSubjects)
{
}

auto ServedDemand::note(const Subject& subject, bool served, Moment now) -> void
{
    if (subject.name.empty())
        return;
    metrics_.count("eelgrass_subject_requests_total",
        { { "what", std::string(subject.what) }, { "served", served ? "yes" : "no" } });
    served ? noteServed(subject, now) : noteUnserved(subject, now);
}

auto ServedDemand::noteServed(const Subject& subject, Moment now) -> void
{
    const auto requests = unserved_.served(subject);
    if (!requests)
        return;
    hideUnserved(subject);
    metrics_.observe("eelgrass_unserved_seconds", { { "what", std::string(subject.what) } }, requests->age(now));
    if (!isStarved(*requests))
        return;
    log::info("served again",
        { { "what", std::string(subject.what) }, { "name", subject.name },
            { "requests", std::to_string(requests->count) }, { "unserved_ms", millisecondsText(requests->age(now)) } });
}

auto ServedDemand::noteUnserved(const Subject& subject, Moment now) -> void
{
    const auto* known = unserved_.find(subject);
    const auto wasStarved = known && isStarved(*known);
    if (!known && unserved_.requests().size() >= maxSubjects) {
        // The record forgets one to make room; its gauge must not stay.
        const auto& kept = unserved_.requests();
        hideUnserved(std::min_element(kept.begin(), kept.end(), [](const auto& left, const auto& right) {
            return left.second.lastAt < right.second.lastAt;
        })->first);
    }
    const auto& requests = unserved_.refused(subject, now);
    showUnserved(subject, requests);
    if (!isStarved(requests) || wasStarved)
        return;
    metrics_.count("eelgrass_starved_total", { { "what", std::string(subject.what) } });
    log::warn("not served",
        { { "what", std::string(subject.what) }, { "name", subject.name },
            { "requests", std::to_string(requests.count) }, { "unserved_ms", millisecondsText(requests.age(now)) } });
}

auto ServedDemand::showUnserved(const Subject& subject, const decisions::UnservedRequests& requests) -> void
{
    // One refused request is no pattern, and would bring every adapter of an overloaded fleet into the metrics.
    if (requests.count > 1)
        metrics_.set(requestsGauge, labelsOf(subject), static_cast<double>(requests.count));
}

auto ServedDemand::hideUnserved(const Subject& subject) -> void { metrics_.unset(requestsGauge, labelsOf(subject)); }

auto ServedDemand::expire(Moment now) -> void
{
    unserved_.expire(now, [this](const Subject& subject) { hideUnserved(subject); });
}

} // namespace eelgrass::serving
