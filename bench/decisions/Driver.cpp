#include "bench/decisions/Driver.h"

#include <algorithm>

namespace eelgrass::bench {

using decisions::EvictionRule;

namespace {

constexpr auto entryCount = std::size_t(3);
constexpr auto reportPeriod = Duration(200ms);
constexpr auto reportDelay = Duration(100ms);
constexpr auto loadTime = Duration(500ms);
// A load takes this much longer while others wait, as at the stand-in of the weight store.
constexpr auto contendedLoadTime = loadTime * 4 / 3;
constexpr auto queueLimit = std::size_t(256);
// Batch efficiency is measured from here to the last arrival: filling and emptying the system is no one's policy.
constexpr auto warmUp = 30.0;
// After the last arrival the run goes on until every deadline has passed.
constexpr auto runOut = Duration(125s);

} // namespace

auto policies() -> std::vector<Policy>
{
    return {
        { "random", Placement::Random },
        { "least-loaded", Placement::LeastLoaded },
        { "rendezvous", Placement::Rendezvous },
        { "rendezvous+evict", Placement::Rendezvous, EvictionRule::LeastDemand },
        { "rendezvous+queue", Placement::Rendezvous, EvictionRule::LeastDemand, true },
        { "rendezvous+loads", Placement::Rendezvous, EvictionRule::LeastDemand, true, true },
        { "eelgrass", Placement::Decided, EvictionRule::LeastDemand, true, true },
    };
}

Driver::Driver(const Size& size, const Scenario& scenario, const Policy& policy, std::uint64_t seed)
    : size_(size)
    , scenario_(scenario)
    , policy_(policy)
    , random_(seed)
{
    for (auto entry = std::size_t(0); entry < entryCount; ++entry)
        entries_.push_back({ {}, decisions::Placer(seed * entryCount + entry) });
    for (auto index = std::size_t(0); index < size.targets; ++index) {
        auto target = Target { .id = TargetId("t" + std::to_string(index)),
            .requests = decisions::RequestQueue(queueLimit, size.batch) };
        target.slots = std::make_unique<decisions::AdapterSlots>(size.slots, policy.eviction);
        for (auto& entry : entries_)
            entry.fleet.put({ .id = target.id, .serves = "base", .batchLimit = size.batch, .slots = size.slots });
        targets_.push_back(std::move(target));
    }
}

auto Driver::seconds() const -> double { return std::chrono::duration<double>(now_.time_since_epoch()).count(); }

auto Driver::run() -> Outcome
{
    const auto requests = Workload(size_, scenario_, random_()).draw();
    auto next = requests.begin();
    const auto end = Moment(Duration(static_cast<std::int64_t>(scenario_.seconds * 1e6))) + runOut;
    outcome_.requests = requests.size();
    while (now_ < end) {
        for (; next != requests.end() && next->arrivedAt <= now_; ++next)
            arrive({ .request = &*next });
        befall();
        stepStore();
        for (auto index = std::size_t(0); index < targets_.size(); ++index) {
            expire(targets_[index]);
            pump(index);
            stepEngine(targets_[index]);
            countStalls(targets_[index]);
        }
        grantLoads();
        report();
        now_ += engineStep;
    }
    return std::move(outcome_);
}

auto Driver::arrive(Work work) -> void
{
    if (work.tried.empty())
        retries_.recordFirstAttempt(work.request->member);
    const auto chosen = place(entries_[random_() % entryCount], work);
    if (!chosen)
        return refuse(work);
    work.tried.push_back(targets_[*chosen].id);
    enqueue(*chosen, std::move(work));
}

auto Driver::place(Entry& entry, const Work& work) -> std::optional<std::size_t>
{
    const auto& request = *work.request;
    const auto load = [&](const auto& view) { return view.queued + view.running + view.sentSinceReport; };
    const auto key = decisions::nameHash(request.model.view());
    const auto score
        = [&](const auto& view) { return decisions::rendezvousScore(key, decisions::nameHash(view.id.view())); };
    const auto& views = entry.fleet.views();
    auto chosen = std::optional<std::size_t>();
    switch (policy_.placement) {
    case Placement::Random:
        chosen = random_() % views.size();
        break;
    case Placement::LeastLoaded:
        chosen
            = static_cast<std::size_t>(std::min_element(views.begin(), views.end(), [&](const auto& a, const auto& b) {
                  return load(a) < load(b);
              }) - views.begin());
        break;
    case Placement::Rendezvous:
        chosen
            = static_cast<std::size_t>(std::max_element(views.begin(), views.end(), [&](const auto& a, const auto& b) {
                  return score(a) < score(b);
              }) - views.begin());
        break;
    case Placement::Decided:
        chosen
            = entry.placer.choose({ .model = request.model, .serves = "base", .tried = work.tried }, entry.fleet, now_);
        break;
    }
    if (chosen)
        entry.fleet.sent(static_cast<decisions::Fleet::Index>(*chosen), request.model, now_);
    return chosen;
}

auto Driver::enqueue(std::size_t index, Work work) -> void
{
    auto& target = targets_[index];
    const auto& request = *work.request;
    if (policy_.decidedQueue) {
        const auto admission = target.requests.offer({ request.id, request.member, request.model, request.requestClass,
                                                         request.arrivedAt, request.arrivedAt + request.deadline },
            resident(target), target.running.size(), now_);
        if (std::holds_alternative<decisions::Refused>(admission))
            return tryElsewhere(std::move(work));
    } else if (target.queue.size() >= queueLimit) {
        return refuse(work);
    }
    target.slots->asked(request.model, now_);
    target.queue.push_back(std::move(work));
}

auto Driver::tryElsewhere(Work work) -> void
{
    if (work.tried.size() < decisions::RetryBudget::maxTargets && retries_.take(work.request->member))
        arrive(std::move(work));
    else
        refuse(work);
}

auto Driver::resident(Target& target) -> decisions::RequestQueue::IsResident
{
    return [&target](const ModelName& model) { return target.slots->ready(model); };
}

auto Driver::pump(std::size_t index) -> void
{
    if (policy_.decidedQueue)
        pumpDecided(index);
    else
        pumpFirstCome(index);
}

auto Driver::pumpFirstCome(std::size_t index) -> void
{
    auto& target = targets_[index];
    for (auto work = target.queue.begin(); work != target.queue.end() && target.running.size() < size_.batch;)
        work = startable(index, *work) ? start(target, work) : std::next(work);
}

auto Driver::pumpDecided(std::size_t index) -> void
{
    auto& target = targets_[index];
    while (const auto next = target.requests.next(target.running.size(), resident(target), now_)) {
        target.slots->pin(next->model, now_);
        start(target, std::find_if(target.queue.begin(), target.queue.end(), [&](const Work& work) {
            return work.request->id == next->attempt;
        }));
    }
    if (policy_.orderedLoads)
        return askForLoads(index);
    for (const auto& work : target.queue) {
        if (!target.slots->ready(work.request->model))
            beginLoad(index, *work.request);
    }
}

auto Driver::askForLoads(std::size_t index) -> void
{
    auto& target = targets_[index];
    loadQueue_.withdraw(target.id);
    for (const auto& candidate : target.requests.loadCandidates(resident(target), now_)) {
        const auto answer = target.slots->request(candidate.model, now_, candidate.member);
        if (std::holds_alternative<decisions::LoadNow>(answer) || std::holds_alternative<decisions::EvictFirst>(answer))
            return loadQueue_.enqueue({ target.id, candidate.weight, candidate.oldestAt });
    }
}

auto Driver::grantLoads() -> void
{
    for (const auto& granted : loadQueue_.grants(now_)) {
        const auto index = static_cast<std::size_t>(
            std::find_if(targets_.begin(), targets_.end(), [&](const Target& target) { return target.id == granted; })
            - targets_.begin());
        auto& target = targets_[index];
        auto begun = false;
        for (const auto& candidate : target.requests.loadCandidates(resident(target), now_)) {
            const auto request = Request { .member = candidate.member, .model = candidate.model };
            begun = begun || beginLoad(index, request);
        }
        if (!begun)
            loadQueue_.release(granted);
    }
}

auto Driver::start(Target& target, std::deque<Work>::iterator work) -> std::deque<Work>::iterator
{
    record(*work);
    work->startedAt = now_;
    ++target.usesSinceLoad[work->request->model];
    target.running.push_back(std::move(*work));
    return target.queue.erase(work);
}

auto Driver::startable(std::size_t index, const Work& work) -> bool
{
    auto& target = targets_[index];
    beginLoad(index, *work.request);
    if (!target.slots->ready(work.request->model))
        return false;
    target.slots->pin(work.request->model, now_);
    return true;
}

/// Whether a load of the adapter was started; makes room for it first.
auto Driver::beginLoad(std::size_t index, const Request& request) -> bool
{
    auto& target = targets_[index];
    target.wantedAt.try_emplace(request.model, now_);
    auto answer = target.slots->request(request.model, now_, request.member);
    if (const auto* evict = std::get_if<decisions::EvictFirst>(&answer)) {
        const auto victim = evict->victim;
        if (target.usesSinceLoad[victim] == 0)
            ++outcome_.wastedLoads;
        target.slots->unloadStarted(victim);
        target.slots->unloadEnded(victim, true);
        answer = target.slots->request(request.model, now_, request.member);
    }
    if (!std::holds_alternative<decisions::LoadNow>(answer))
        return false;
    startLoad(index, request);
    return true;
}

auto Driver::startLoad(std::size_t target, const Request& request) -> void
{
    const auto& model = request.model;
    targets_[target].slots->loadStarted(model, now_, request.member);
    targets_[target].usesSinceLoad[model] = 0;
    loads_.push_back({ target, model });
    if (loads_.size() == 1)
        loadLeft_ = loadTime;
    ++outcome_.loads;
}

auto Driver::stepStore() -> void
{
    if (loads_.empty())
        return;
    // Work is counted in full-speed time; while others wait it advances more slowly.
    loadLeft_ -= loads_.size() > 1 ? engineStep * loadTime.count() / contendedLoadTime.count() : engineStep;
    if (loadLeft_ > Duration::zero())
        return;
    const auto load = std::move(loads_.front());
    loads_.pop_front();
    loadLeft_ = loadTime;
    const auto third = scenario_.seconds / 3;
    const auto failing = seconds() > third && seconds() < 2 * third;
    const auto drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto loaded = !failing || drawn >= scenario_.failingLoads;
    auto& target = targets_[load.target];
    target.slots->loadEnded(load.model, loaded, now_);
    loadQueue_.release(target.id);
    if (const auto wanted = target.wantedAt.extract(load.model))
        target.requests.recordLoadTime(now_ - wanted.mapped());
}

auto Driver::stepEngine(Target& target) -> void
{
    if (target.running.empty())
        return;
    if (seconds() > warmUp && seconds() < scenario_.seconds) {
        outcome_.filled += target.running.size();
        outcome_.places += size_.batch;
    }
    for (auto& work : target.running)
        work.doneSteps += 1 / target.slowFactor;
    std::erase_if(target.running, [&](const Work& work) {
        const auto& request = *work.request;
        if (work.doneSteps < static_cast<double>(request.prefillSteps + request.outputSteps))
            return false;
        target.slots->unpin(request.model);
        target.requests.recordRunTime(request.requestClass, now_ - work.startedAt);
        if (now_ - request.arrivedAt <= request.deadline)
            ++outcome_.inDeadline;
        return true;
    });
}

auto Driver::countStalls(Target& target) -> void
{
    const auto resident = target.slots->resident();
    for (auto& work : target.queue) {
        if (!resident.contains(work.request->model))
            work.stalled += engineStep;
    }
}

auto Driver::expire(Target& target) -> void
{
    auto expired = std::set<AttemptId>();
    for (const auto& late : target.requests.expire(resident(target), now_))
        expired.insert(late.attempt);
    std::erase_if(target.queue, [&](const Work& work) {
        if (now_ - work.request->arrivedAt <= work.request->deadline && !expired.contains(work.request->id))
            return false;
        refuse(work);
        return true;
    });
}

auto Driver::refuse(const Work& work) -> void
{
    ++outcome_.refused;
    outcome_.refusalTimes.push_back(std::chrono::duration<double>(now_ - work.request->arrivedAt).count());
    // A caller that was given up on after a wait for a load has stalled for all of it.
    if (work.stalled > Duration::zero())
        record(work);
}

auto Driver::record(const Work& work) -> void
{
    outcome_.loadStalls.push_back(std::chrono::duration<double>(work.stalled).count());
    outcome_.startsByMember[work.request->member].push_back(
        std::chrono::duration<double>(now_ - work.request->arrivedAt).count());
}

auto Driver::describe(Target& target) const -> decisions::TargetReport
{
    const auto isResident = resident(target);
    const auto names = target.slots->resident();
    const auto waiting = static_cast<std::size_t>(std::count_if(
        target.queue.begin(), target.queue.end(), [&](const Work& work) { return !isResident(work.request->model); }));
    return { .queued = target.queue.size(),
        .running = target.running.size(),
        .batchLimit = size_.batch,
        .slots = size_.slots,
        .awaitingLoad = waiting,
        .loadsWaiting = target.requests.loadCandidates(isResident, now_).size(),
        .evictionCost = target.slots->evictionCost(now_),
        .placeTime = target.requests.placeTime(),
        .resident = { names.begin(), names.end() } };
}

auto Driver::report() -> void
{
    if (now_.time_since_epoch() % reportPeriod == Duration::zero()) {
        for (auto index = std::size_t(0); index < targets_.size(); ++index)
            reports_.push_back({ now_ + reportDelay, index, describe(targets_[index]) });
    }
    while (!reports_.empty() && reports_.front().arrivesAt <= now_) {
        const auto& late = reports_.front();
        for (auto& entry : entries_)
            entry.fleet.report(targets_[late.target].id, late.report, now_);
        reports_.pop_front();
    }
}

auto Driver::befall() -> void
{
    if (seconds() >= scenario_.seconds / 4)
        targets_.front().slowFactor = scenario_.slowFactor;
    if (!scenario_.coldRestart || restarted_ || seconds() < scenario_.seconds / 2)
        return;
    restarted_ = true;
    for (auto index = std::size_t(0); index < targets_.size() / 3; ++index) {
        auto& target = targets_[index];
        // What ran there runs again from its first token; the caller is not told.
        for (auto& work : target.running) {
            target.slots->unpin(work.request->model);
            work.doneSteps = 0;
            const auto& request = *work.request;
            if (policy_.decidedQueue)
                target.requests.putBack({ request.id, request.member, request.model, request.requestClass,
                    request.arrivedAt, request.arrivedAt + request.deadline });
            target.queue.push_front(std::move(work));
        }
        target.running.clear();
        target.slots->reset({}, now_);
        std::erase_if(loads_, [&](const Load& load) { return load.target == index; });
    }
}

} // namespace eelgrass::bench
