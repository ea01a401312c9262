#include "router/Metrics.h"

#include <prometheus/text_serializer.h>

namespace eelgrass::router {

namespace {

// Bounds in seconds. They range from 0.1 ms, the cost of relaying, to 10 minutes, the duration of the longest answers.
const auto timeBounds = prometheus::Histogram::BucketBoundaries { 0.0001, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.028,
    0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 30, 60, 120, 300, 600 };
const auto ratioBounds
    = prometheus::Histogram::BucketBoundaries { 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 1 };
const auto otherMember = std::string("other");

using HistogramFamily = prometheus::Family<prometheus::Histogram>;

/// Returns the family with this name, which is registered on first use.
auto findOrRegister(std::map<std::string, HistogramFamily*>& families, prometheus::Registry& registry,
    const std::string& name) -> HistogramFamily&
{
    auto& family = families[name];
    if (!family)
        family = &prometheus::BuildHistogram().Name(name).Register(registry);
    return *family;
}

} // namespace

Metrics::Metrics(std::size_t maxMembers)
    : maxMembers_(maxMembers)
{
}

auto Metrics::memberLabel(const MemberId& member) -> const std::string&
{
    const auto found = members_.find(member.str());
    if (found != members_.end())
        return *found;
    if (members_.size() >= maxMembers_)
        return otherMember;
    return *members_.insert(member.str()).first;
}

auto Metrics::series(const std::string& name, const MemberId& member, const RequestClass& requestClass) -> Series&
{
    return findOrRegister(histograms_, registry_, name)
        .Add({ { "member", memberLabel(member) }, { "class", requestClass.str() } }, timeBounds);
}

auto Metrics::observe(Series& series, Duration time) -> void
{
    series.Observe(std::chrono::duration<double>(time).count());
}

auto Metrics::observe(const std::string& name, const MemberId& member, const RequestClass& requestClass, Duration time)
    -> void
{
    observe(series(name, member, requestClass), time);
}

auto Metrics::observe(const std::string& name, const std::map<std::string, std::string>& labels, Duration time) -> void
{
    observe(findOrRegister(histograms_, registry_, name).Add(labels, timeBounds), time);
}

auto Metrics::observeRatio(const std::string& name, double ratio) -> void
{
    findOrRegister(histograms_, registry_, name).Add({}, ratioBounds).Observe(ratio);
}

auto Metrics::count(const std::string& name, const std::map<std::string, std::string>& labels, double increment) -> void
{
    auto& family = counters_[name];
    if (!family)
        family = &prometheus::BuildCounter().Name(name).Register(registry_);
    family->Add(labels).Increment(increment);
}

auto Metrics::set(const std::string& name, const std::map<std::string, std::string>& labels, double value) -> void
{
    auto& family = gauges_[name];
    if (!family)
        family = &prometheus::BuildGauge().Name(name).Register(registry_);
    family->Add(labels).Set(value);
}

auto Metrics::unset(const std::string& name, const std::map<std::string, std::string>& labels) -> void
{
    if (auto* family = gauges_[name])
        family->Remove(&family->Add(labels));
}

auto Metrics::text() const -> std::string { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

} // namespace eelgrass::router
