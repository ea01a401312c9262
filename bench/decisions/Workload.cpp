#include "bench/decisions/Workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace eelgrass::bench {

namespace {

constexpr auto shiftedMember = std::size_t(1);
constexpr auto shiftedAdapters = std::size_t(24);

auto constant(double rate)
{
    return [rate](double) { return rate; };
}

auto between(Random& random, std::size_t low, std::size_t high) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(low, high)(random);
}

} // namespace

auto sizes() -> std::vector<Size>
{
    return {
        { .name = "armor", .members = 3, .slots = 4, .batch = 8, .longShare = 0.05 },
        { .name = "remissandelen", .members = 60, .slots = 8, .batch = 16, .longShare = 0.3 },
    };
}

// The rates are chosen against the two limits of each deployment: about two loads a second for all, and the steps that
// nine engines have. `busy` leaves the weight store nearly full; `full` and `drafts` are twice and one and a quarter
// times what the engines can run if every step is filled: 36 and 34 requests a second of the usual mix, 8.3 and 16.5
// when four in five are drafts.
auto scenarios(const Size& size) -> std::vector<Scenario>
{
    const auto armor = size.members == 3;
    const auto usual = armor ? 2.5 : 3.0;
    const auto busy = armor ? 3.2 : 4.0;
    const auto full = armor ? 72.0 : 68.0;
    const auto drafts = armor ? 10.0 : 20.0;
    const auto burst = [usual](double t) { return t > 40 && t < 50 ? usual * 6 : usual; };
    const auto surge = [usual, drafts](double t) { return t < 20 ? usual : drafts; };
    const auto shift = [](double t) { return t > 40 && t < 80 ? 0.6 : 0.0; };
    return {
        { .name = "burst", .rate = burst, .longShare = size.longShare },
        { .name = "skew", .rate = constant(busy), .zipf = 1.2, .longShare = size.longShare },
        { .name = "shift", .rate = constant(usual), .zipf = 1.2, .shiftShare = shift, .longShare = size.longShare },
        { .name = "slow-target", .rate = constant(usual), .zipf = 1.2, .longShare = size.longShare, .slowFactor = 5 },
        { .name = "long-short", .rate = constant(usual), .zipf = 1.2, .longShare = 0.5 },
        { .name = "saturation", .rate = constant(full), .zipf = 1.1, .longShare = size.longShare },
        { .name = "surge", .rate = surge, .zipf = 1.1, .longShare = 0.8 },
        { .name = "store-failing",
            .rate = constant(usual),
            .zipf = 1.2,
            .longShare = size.longShare,
            .failingLoads = 0.5 },
        { .name = "cold-restart",
            .rate = constant(usual),
            .zipf = 1.2,
            .longShare = size.longShare,
            .coldRestart = true },
    };
}

Workload::Workload(const Size& size, const Scenario& scenario, std::uint64_t seed)
    : size_(size)
    , scenario_(scenario)
    , random_(seed)
    , shuffled_(size.adapters)
{
    auto total = 0.0;
    for (auto rank = std::size_t(1); rank <= size.adapters; ++rank) {
        total += std::pow(static_cast<double>(rank), -scenario.zipf);
        cumulative_.push_back(total);
    }
    std::iota(shuffled_.begin(), shuffled_.end(), 0);
    std::shuffle(shuffled_.begin(), shuffled_.end(), random_);
}

auto Workload::draw() -> std::vector<Request>
{
    auto requests = std::vector<Request>();
    auto at = 0.0;
    while (true) {
        at += std::exponential_distribution<double>(scenario_.rate(at))(random_);
        if (at >= scenario_.seconds)
            return requests;
        requests.push_back(request(at, requests.size()));
    }
}

// Adapters belong to members in turn, so that each member has its share of the popular ones.
auto Workload::pickAdapter(double at) -> std::size_t
{
    auto uniform = std::uniform_real_distribution<double>(0, 1);
    if (scenario_.shiftShare && uniform(random_) < scenario_.shiftShare(at)) {
        const auto inMember = between(random_, 0, shiftedAdapters - 1);
        return shiftedMember + (size_.adapters / size_.members / 2 + inMember) * size_.members;
    }
    const auto drawn = uniform(random_) * cumulative_.back();
    const auto rank = std::lower_bound(cumulative_.begin(), cumulative_.end(), drawn) - cumulative_.begin();
    return shuffled_[static_cast<std::size_t>(rank)];
}

auto Workload::request(double at, std::size_t number) -> Request
{
    const auto adapter = pickAdapter(at);
    auto request = Request { .id = AttemptId(std::to_string(number)),
        .member = MemberId("m" + std::to_string(adapter % size_.members)),
        .model = ModelName("a" + std::to_string(adapter) + "@1"),
        .arrivedAt = Moment(Duration(static_cast<std::int64_t>(at * 1e6))) };
    const auto isLong = std::uniform_real_distribution<double>(0, 1)(random_) < scenario_.longShare;
    if (isLong) {
        request.requestClass = RequestClass("draft");
        request.prefillSteps = between(random_, 10, 40);
        request.outputSteps = between(random_, 300, 700);
        request.deadline = 120s;
    } else {
        request.requestClass = RequestClass("interactive");
        request.prefillSteps = between(random_, 1, 5);
        request.outputSteps = between(random_, 30, 120);
        request.deadline = 15s;
    }
    return request;
}

} // namespace eelgrass::bench
