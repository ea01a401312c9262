#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <set>
#include <string>

namespace eelgrass::router {

/// Metrics of a process, which its own HTTP server serves in the Prometheus text format.
///
/// Members beyond a limit share the label value `other`, which bounds the size of the output.
class Metrics {
public:
    /// The first `maxMembers` members that appear get label values of their own; all later ones share `other`.
    explicit Metrics(std::size_t maxMembers);

    using Series = prometheus::Histogram;

    /// The histogram of one member and request class. Code that observes often should keep the reference, since the
    /// lookup costs more than an observation.
    [[nodiscard]] auto series(const std::string& name, const MemberId& member, const RequestClass& requestClass)
        -> Series&;
    /// Observes a time for one member and request class. `name` is the full name of the metric and ends in `_seconds`.
    auto observe(const std::string& name, const MemberId& member, const RequestClass& requestClass, Duration time)
        -> void;
    /// Observes a time under the given labels.
    auto observe(const std::string& name, const std::map<std::string, std::string>& labels, Duration time) -> void;
    /// Observes a ratio from 0 to 1, such as how full the batch of an engine step was.
    auto observeRatio(const std::string& name, double ratio) -> void;
    static auto observe(Series& series, Duration time) -> void;
    /// Increments a counter.
    auto count(const std::string& name, const std::map<std::string, std::string>& labels, double increment = 1) -> void;
    /// Sets a gauge.
    auto set(const std::string& name, const std::map<std::string, std::string>& labels, double value) -> void;
    /// Removes a gauge, for what no longer exists.
    auto unset(const std::string& name, const std::map<std::string, std::string>& labels) -> void;

    /// All metrics in the Prometheus text format.
    [[nodiscard]] auto text() const -> std::string;

private:
    auto memberLabel(const MemberId& member) -> const std::string&;

    std::size_t maxMembers_;
    /// Members with label values of their own.
    std::set<std::string> members_;
    prometheus::Registry registry_;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
};

} // namespace eelgrass::router
