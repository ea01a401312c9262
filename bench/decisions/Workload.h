#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace eelgrass::bench {

using Random = std::mt19937_64;

/// Time of one engine step: every sequence in it gains one token.
inline constexpr auto engineStep = Duration(20ms);

/// A request as its caller knows it; work is counted in engine steps.
struct Request {
    AttemptId id;
    MemberId member;
    ModelName model;
    RequestClass requestClass;
    std::size_t prefillSteps = 0;
    std::size_t outputSteps = 0;
    Duration deadline {};
    Moment arrivedAt {};
};

/// One deployment at its size of today.
struct Size {
    std::string name;
    std::size_t members = 0;
    std::size_t slots = 0;
    std::size_t batch = 0;
    std::size_t targets = 9;
    std::size_t adapters = 3000;
    /// Share of long drafts among the requests.
    double longShare = 0;
};

/// What befalls one run. Times are from the start.
struct Scenario {
    std::string name;
    /// Requests a second at a moment.
    std::function<double(double seconds)> rate;
    double seconds = 120;
    double zipf = 1.1;
    /// Requests of a member that wakes up at once; empty for none.
    std::function<double(double seconds)> shiftShare;
    double longShare = 0;
    /// A target that takes this many times as long, from a quarter of the run on.
    double slowFactor = 1;
    /// Share of loads that fail during the middle third.
    double failingLoads = 0;
    /// A third of the engines restart empty at the middle.
    bool coldRestart = false;
};

[[nodiscard]] auto sizes() -> std::vector<Size>;
[[nodiscard]] auto scenarios(const Size&) -> std::vector<Scenario>;

/// Draws the requests of a scenario; the same seed gives the same requests whatever the policy does.
class Workload {
public:
    Workload(const Size&, const Scenario&, std::uint64_t seed);

    /// All requests in order of arrival.
    [[nodiscard]] auto draw() -> std::vector<Request>;

private:
    auto request(double at, std::size_t number) -> Request;
    auto pickAdapter(double at) -> std::size_t;

    const Size& size_;
    const Scenario& scenario_;
    Random random_;
    std::vector<double> cumulative_;
    std::vector<std::size_t> shuffled_;
};

} // namespace eelgrass::bench
