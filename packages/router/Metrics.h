#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <set>
#include <string>

namespace eelgrass::router {

/// Figures of a process, as text for a metrics reader. Served by the process's own HTTP server.
///
/// Members beyond the cap share the member `other`, so that the page stays small however many there are.
class Metrics {
public:
    explicit Metrics(std::size_t memberCap);

    using Series = prometheus::Histogram;

    /// The histogram of one member and class, to be kept by who observes often: finding it costs more than observing.
    [[nodiscard]] auto series(const std::string& name, const MemberId& member, const RequestClass& requestClass)
        -> Series&;
    /// A time for one member and class; `name` is a metric's whole name, ending in `_seconds`.
    auto observe(const std::string& name, const MemberId& member, const RequestClass& requestClass, Duration time)
        -> void;
    /// A time with arbitrary labels.
    auto observe(const std::string& name, const std::map<std::string, std::string>& labels, Duration time) -> void;
    /// A share from 0 to 1, as how full an engine step was.
    auto observeRatio(const std::string& name, double share) -> void;
    static auto observe(Series& series, Duration time) -> void;
    auto count(const std::string& name, const std::map<std::string, std::string>& labels, double by = 1) -> void;

    [[nodiscard]] auto text() const -> std::string;

private:
    auto memberLabel(const MemberId& member) -> const std::string&;

    std::size_t memberCap_;
    std::set<std::string> members_;
    prometheus::Registry registry_;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> times_;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
};

} // namespace eelgrass::router
