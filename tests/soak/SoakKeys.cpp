// The part of Soak that takes keys away, suspends processes, and judges who was served with which key.
#include "base/DurationText.h"
#include "tests/soak/Soak.h"

#include <algorithm>
#include <csignal>

namespace eelgrass::soak {

namespace {

// A key that was added this long ago is known to all entries in touch with the store.
constexpr auto settled = Duration(3s);
constexpr auto leastServed = 0.9;
// Served again within this after the last fault.
constexpr auto recovery = Duration(10s);
constexpr auto adapters = 6;

} // namespace

auto Soak::turnAway(std::vector<Node*> nodes) -> void
{
    const auto time = soon(3000, 11000);
    for (auto* node : nodes)
        node->store->apply({ { "cut", true }, { "refuse", true } });
    later(time, [nodes = std::move(nodes)] {
        for (auto* node : nodes)
            node->store->apply({ { "refuse", false } });
    });
}

auto Soak::suspend(tests::Process& process, const std::string& name, Duration time) -> void
{
    note(std::string(time < 500ms ? "short" : "long") + " pause of " + name);
    process.signal(SIGSTOP);
    later(time, [&process] { process.signal(SIGCONT); });
}

auto Soak::suspendNode(Node& node, Duration time) -> void
{
    if (node.frozen || node.stopping || !node.process->running())
        return;
    disturbed(node);
    node.frozen = true;
    suspend(*node.process, node.role, time);
    later(time, [this, &node] {
        node.frozen = false;
        disturbed(node);
    });
}

auto Soak::faultBesideKeys() -> void
{
    const auto anyGateway = [&]() -> auto& { return any(gateways_, sparesFirst_ ? 1 : 0); };
    const auto brief = [&] { return soon(20, 400); };
    const auto lengthy = [&] { return soon(500, 6500); };
    const auto kind = number(0, sparesFirst_ ? 16 : 18);
    if (kind < 4)
        return suspendNode(anyGateway(), brief());
    if (kind < 7)
        return suspendNode(anyGateway(), lengthy());
    if (kind < 8)
        return suspendNode(any(agents_), chance(0.5) ? brief() : lengthy());
    if (kind < 9)
        return kill(anyGateway());
    if (kind < 11) {
        if (std::exchange(storeSuspended_, true))
            return;
        const auto time = sparesFirst_ || chance(0.7) ? brief() : lengthy();
        suspend(storeProcess_->process(), "store", time);
        return later(time, [this] { storeSuspended_ = false; });
    }
    if (kind < 12) {
        note("store forgets its history");
        return storeProcess_->forgetHistory();
    }
    if (kind < 14)
        return faultOnStoreLeg(anyGateway());
    // For longer than the bound, so that entries have to know what they may still serve.
    if (kind < 17) {
        note("store turns a gateway away");
        return turnAway({ &anyGateway() });
    }
    note("store turns all gateways away");
    auto all = std::vector<Node*>();
    std::transform(gateways_.begin(), gateways_.end(), std::back_inserter(all), [](Node& node) { return &node; });
    turnAway(std::move(all));
}

auto Soak::changeKeys() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    note("key taken away");
    const auto change = keys_.change(keyRandom_, loop_.timers().now());
    storeProcess_->put(
        "op", "config", configuration(), [this, change](Moment now) { keys_.acknowledged(change, now); });
    return loop_.sleep(std::chrono::milliseconds(200 + keyRandom_() % 1500)).then([this] { return changeKeys(); });
}

auto Soak::judgeKeys(std::vector<std::string>& broken) -> void
{
    if (!size_.keys)
        return;
    auto ran = std::set<std::string>();
    for (const auto* replica : replicas()) {
        for (const auto& run : replica->runs())
            ran.insert(run.attempt);
    }
    auto asked = 0;
    auto served = 0;
    auto statuses = std::map<int, int>();
    for (const auto& call : calls_) {
        const auto key = tests::MemberKeys::Call {
            .attempt = call.attempt, .key = call.key, .sentAt = call.began, .endedAt = call.ended
        };
        const auto late = keys_.sentAfterRemoval(key);
        if (late && ran.contains(call.attempt)) {
            latestRemovedKeyRun_ = std::max(latestRemovedKeyRun_, *late);
            if (*late > tests::MemberKeys::bound)
                broken.push_back("runs with a key that was taken away: " + call.attempt + " " + call.path + " at "
                    + gateways_[call.gateway].name + ", sent " + millisecondsText(*late) + " ms after");
        }
        if (!sparesFirst_ || call.gateway != 0 || !keys_.livedThrough(key, settled))
            continue;
        ++asked;
        served += call.status == 200 ? 1 : 0;
        ++statuses[call.status];
    }
    faults_["requests with living keys at a gateway in touch"] += asked;
    faults_["served of these"] += served;
    if (served < leastServed * asked)
        broken.push_back("living keys are not served: " + std::to_string(served) + " of " + std::to_string(asked)
            + ", statuses " + nlohmann::json(statuses).dump());
}

auto Soak::judgeLivingKeys(std::vector<std::string>& broken) -> void
{
    if (!size_.keys)
        return;
    for (auto gateway = std::size_t(0); gateway < size_.gateways; ++gateway) {
        auto wanted = std::vector<std::array<std::string, 3>>();
        for (const auto& key : keys_.living())
            wanted.push_back({ "/safe/x", "", key });
        for (auto adapter = 1; adapter <= adapters; ++adapter)
            wanted.push_back({ "/resumable/x", "a" + std::to_string(adapter), "" });
        const auto until = loop_.timers().now() + recovery;
        while (!wanted.empty() && loop_.timers().now() < until) {
            const auto& [path, adapter, key] = wanted.back();
            auto caller = wire::HttpCaller(loop_.timers(), clientAddress(), gateways_[gateway].port);
            const auto call
                = loop_.wait(ask(caller, gateway, path, adapter, key.empty() ? keys_.living().front() : key));
            if (call.status == 200)
                wanted.pop_back();
            else
                loop_.wait(loop_.sleep(50ms));
        }
        for (const auto& [path, adapter, key] : wanted)
            broken.push_back(
                "not served again: " + path + " " + adapter + " " + key + " at " + gateways_[gateway].name);
    }
}

} // namespace eelgrass::soak
