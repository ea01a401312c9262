#pragma once

#include "bench/decisions/Workload.h"
#include "decisions/Decisions.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace eelgrass::bench {

enum class Placement { Random, LeastLoaded, Rendezvous, Decided };

/// Which decisions a run uses; a baseline leaves the rest at the simple way.
struct Policy {
    std::string name;
    Placement placement = Placement::Decided;
    decisions::EvictionRule eviction = decisions::EvictionRule::LeastRecentlyUsed;
    /// `RequestQueue` instead of first come, first served among those whose adapter is there.
    bool decidedQueue = false;
    /// `LoadQueue` instead of loads as they come; needs the decided queue.
    bool orderedLoads = false;
};

[[nodiscard]] auto policies() -> std::vector<Policy>;

/// What one run gave. Times in seconds.
struct Outcome {
    std::vector<double> loadStalls;
    std::vector<double> refusalTimes;
    std::map<MemberId, std::vector<double>> startsByMember;
    std::size_t requests = 0;
    std::size_t inDeadline = 0;
    std::size_t refused = 0;
    std::size_t loads = 0;
    std::size_t wastedLoads = 0;
    std::uint64_t filled = 0;
    std::uint64_t places = 0;
};

/// Runs a scenario on a virtual clock: the decisions are the real classes; engines, the weight store and reports are a
/// few lines each. Reports reach entries late, a step gives each sequence in it one token, and one weight store loads
/// one adapter after another, slower while others wait.
class Driver {
public:
    Driver(const Size&, const Scenario&, const Policy&, std::uint64_t seed);
    [[nodiscard]] auto run() -> Outcome;

private:
    struct Work {
        const Request* request = nullptr;
        double doneSteps = 0;
        Duration stalled {};
        Moment startedAt {};
        std::vector<TargetId> tried;
    };
    struct Target {
        TargetId id;
        double slowFactor = 1;
        std::deque<Work> queue;
        decisions::RequestQueue requests;
        std::map<ModelName, Moment> wantedAt;
        std::vector<Work> running;
        std::map<ModelName, std::size_t> usesSinceLoad;
        std::unique_ptr<decisions::AdapterSlots> slots;
    };
    struct Load {
        std::size_t target = 0;
        ModelName model;
    };
    struct Report {
        Moment arrivesAt {};
        std::size_t target = 0;
        decisions::TargetReport report;
    };
    struct Entry {
        decisions::Fleet fleet;
        decisions::Placer placer;
    };

    auto arrive(Work) -> void;
    auto place(Entry&, const Work&) -> std::optional<std::size_t>;
    [[nodiscard]] auto describe(Target&) const -> decisions::TargetReport;
    auto enqueue(std::size_t target, Work) -> void;
    auto pump(std::size_t target) -> void;
    auto pumpFirstCome(std::size_t target) -> void;
    auto pumpDecided(std::size_t target) -> void;
    auto start(Target&, std::deque<Work>::iterator) -> std::deque<Work>::iterator;
    auto startable(std::size_t target, const Work&) -> bool;
    auto beginLoad(std::size_t target, const Request&) -> bool;
    auto askForLoads(std::size_t target) -> void;
    auto grantLoads() -> void;
    auto stepEngine(Target&) -> void;
    auto stepStore() -> void;
    auto countStalls(Target&) -> void;
    auto expire(Target&) -> void;
    auto refuse(const Work&) -> void;
    auto record(const Work&) -> void;
    auto report() -> void;
    auto befall() -> void;
    auto startLoad(std::size_t target, const Request&) -> void;
    auto tryElsewhere(Work) -> void;
    static auto resident(Target&) -> decisions::RequestQueue::IsResident;
    [[nodiscard]] auto seconds() const -> double;

    const Size& size_;
    const Scenario& scenario_;
    const Policy& policy_;
    Random random_;
    Moment now_ {};
    std::vector<Target> targets_;
    std::vector<Entry> entries_;
    std::deque<Report> reports_;
    std::deque<Load> loads_;
    Duration loadLeft_ {};
    decisions::LoadQueue loadQueue_;
    decisions::RetryBudget retries_;
    bool restarted_ = false;
    Outcome outcome_;
};

} // namespace eelgrass::bench
