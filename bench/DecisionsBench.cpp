#include "bench/decisions/Driver.h"

#include <algorithm>
#include <cstdio>
#include <future>
#include <iostream>
#include <numeric>

namespace {

using namespace eelgrass::bench;

constexpr auto seeds = { 11, 12, 13 };

auto quantile(std::vector<double> values, double share) -> double
{
    if (values.empty())
        return 0;
    const auto index
        = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

auto percent(double part, double whole) -> double { return whole > 0 ? 100 * part / whole : 0; }

/// The 95th percentile of the start of the worst member, over that of the median member.
auto worstOverMedian(const Outcome& outcome) -> double
{
    constexpr auto enough = std::size_t(20);
    constexpr auto floor = 0.1;
    auto tails = std::vector<double>();
    for (const auto& [member, starts] : outcome.startsByMember) {
        if (starts.size() >= enough)
            tails.push_back(std::max(floor, quantile(starts, 0.95)));
    }
    if (tails.empty())
        return 0;
    return *std::max_element(tails.begin(), tails.end()) / quantile(tails, 0.5);
}

auto merge(Outcome& into, Outcome&& from) -> void
{
    const auto append = [](auto& to, const auto& more) { to.insert(to.end(), more.begin(), more.end()); };
    append(into.loadStalls, from.loadStalls);
    append(into.refusalTimes, from.refusalTimes);
    for (auto& [member, starts] : from.startsByMember)
        append(into.startsByMember[member], starts);
    into.requests += from.requests;
    into.inDeadline += from.inDeadline;
    into.refused += from.refused;
    into.loads += from.loads;
    into.wastedLoads += from.wastedLoads;
    into.filled += from.filled;
    into.places += from.places;
}

auto stalledShare(const Outcome& outcome) -> double
{
    const auto stalled
        = std::count_if(outcome.loadStalls.begin(), outcome.loadStalls.end(), [](double stall) { return stall > 0; });
    return percent(static_cast<double>(stalled), static_cast<double>(outcome.loadStalls.size()));
}

constexpr auto header = "deployment,scenario,policy,stall_p50_s,stall_p95_s,stall_p99_s,stalled_pct,batch_pct,"
                        "in_deadline_pct,refused_pct,refusal_p50_s,worst_over_median,loads,wasted_loads";

auto row(const Size& size, const Scenario& scenario, const Policy& policy, const Outcome& outcome) -> std::string
{
    const auto requests = static_cast<double>(outcome.requests);
    auto text = std::string(256, '\0');
    const auto length
        = std::snprintf(text.data(), text.size(), "%s,%s,%s,%.2f,%.2f,%.2f,%.1f,%.1f,%.1f,%.1f,%.2f,%.1f,%zu,%zu",
            size.name.c_str(), scenario.name.c_str(), policy.name.c_str(), quantile(outcome.loadStalls, 0.5),
            quantile(outcome.loadStalls, 0.95), quantile(outcome.loadStalls, 0.99), stalledShare(outcome),
            percent(static_cast<double>(outcome.filled), static_cast<double>(outcome.places)),
            percent(static_cast<double>(outcome.inDeadline), requests),
            percent(static_cast<double>(outcome.refused), requests), quantile(outcome.refusalTimes, 0.5),
            worstOverMedian(outcome), outcome.loads, outcome.wastedLoads);
    text.resize(static_cast<std::size_t>(length));
    return text;
}

} // namespace

/// Writes one CSV row per deployment, scenario and policy to standard output. Arguments name the only scenario
/// (empty for all) and the only policy.
auto main(int argc, char** argv) -> int
{
    const auto only = std::string(argc > 1 ? argv[1] : "");
    const auto onlyPolicy = std::string(argc > 2 ? argv[2] : "");
    std::cout << header << '\n';
    for (const auto& size : sizes()) {
        for (const auto& scenario : scenarios(size)) {
            if (!only.empty() && only != scenario.name)
                continue;
            for (const auto& policy : policies()) {
                if (!onlyPolicy.empty() && onlyPolicy != policy.name)
                    continue;
                auto runs = std::vector<std::future<Outcome>>();
                for (const auto seed : seeds) {
                    runs.push_back(std::async(std::launch::async, [&size, &scenario, &policy, seed] {
                        return Driver(size, scenario, policy, static_cast<std::uint64_t>(seed)).run();
                    }));
                }
                auto whole = Outcome();
                for (auto& run : runs)
                    merge(whole, run.get());
                std::cout << row(size, scenario, policy, whole) << std::endl;
            }
        }
    }
    return 0;
}
