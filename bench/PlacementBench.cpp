#include "decisions/Placer.h"

#include <cstdlib>
#include <iostream>
#include <new>
#include <random>

namespace {

std::size_t allocations = 0;

} // namespace

// NOLINTNEXTLINE(misc-new-delete-overloads): counts what one placement allocates.
auto operator new(std::size_t size) -> void*
{
    ++allocations;
    if (auto* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
auto operator delete(void* memory) noexcept -> void { std::free(memory); }
auto operator delete(void* memory, std::size_t) noexcept -> void { std::free(memory); }

namespace {

using namespace eelgrass;
using namespace eelgrass::decisions;

constexpr auto bases = std::size_t(3);
constexpr auto slots = std::size_t(8);
constexpr auto placements = std::size_t(200000);

auto model(std::size_t adapter) -> ModelName { return ModelName("adapter-" + std::to_string(adapter) + "@7#0123abcd"); }
auto base(std::size_t adapter) -> std::string { return "base-" + std::to_string(adapter % bases); }

auto fleetOf(std::size_t targets, std::size_t adapters, std::mt19937_64& random) -> Fleet
{
    auto fleet = Fleet();
    for (auto index = std::size_t(0); index < targets; ++index) {
        const auto id = TargetId("target-" + std::to_string(index));
        fleet.put({ .id = id, .serves = base(index), .batchLimit = 16, .slots = slots });
        auto report = TargetReport { .running = random() % 17, .batchLimit = 16, .slots = slots };
        for (auto slot = std::size_t(0); slot < slots; ++slot)
            report.resident.push_back(model(random() % (adapters / bases) * bases + index % bases));
        fleet.report(id, std::move(report), {});
    }
    return fleet;
}

/// Time and allocations of one placement, counted as sent, over adapters in turn.
auto measure(std::size_t targets, std::size_t adapters) -> void
{
    auto random = std::mt19937_64(7);
    auto fleet = fleetOf(targets, adapters, random);
    auto requests = std::vector<PlacementRequest>();
    for (auto number = std::size_t(0); number < adapters; ++number)
        requests.push_back({ .model = model(number), .serves = base(number) });
    auto placer = Placer(1);
    auto chosen = std::uint64_t(0);
    const auto before = allocations;
    const auto start = std::chrono::steady_clock::now();
    for (auto number = std::size_t(0); number < placements; ++number)
        chosen += placer.choose(requests[random() % adapters], fleet, Moment(Duration(number))).value();
    const auto took = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    const auto each = static_cast<double>(placements);
    std::cout << targets << ',' << adapters << ',' << took / each << ','
              << static_cast<double>(allocations - before) / each << ',' << chosen % 10 << '\n';
}

} // namespace

/// Writes processor time (microseconds) and allocations of one placement for growing fleets to standard output.
auto main() -> int
{
    std::cout << "targets,adapters,microseconds,allocations,check\n";
    measure(9, 3000);
    measure(275, 5000);
    measure(1100, 10000);
    measure(2200, 20000);
    return 0;
}
