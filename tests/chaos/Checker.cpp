#include "tests/chaos/Checker.h"

#include "standins/EngineStandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace eelgrass::chaos {

namespace {

using Json = nlohmann::json;

// A leaving target may take work for this long, while the news of its leaving spreads.
constexpr auto leavingGrace = Duration(3s);
// An accepted configuration must be in force at every entry that nothing disturbed after this time.
constexpr auto configGrace = Duration(10s);
constexpr auto dataPrefix = std::string_view("data: ");

/// What a caller can read out of the body that reached it.
struct Answer {
    std::string text;
    bool done = false;
    /// The answer itself says that it failed.
    std::optional<Json> error;
    bool malformed = false;
};

auto takeEvent(std::string_view event, Answer& answer) -> void
{
    if (event.starts_with("event: error\n"))
        event.remove_prefix(std::string_view("event: error\n").size());
    if (!event.starts_with(dataPrefix))
        return;
    event.remove_prefix(dataPrefix.size());
    if (event == "[DONE]") {
        answer.done = true;
        return;
    }
    // What follows [DONE] belongs to no answer.
    answer.malformed = answer.malformed || answer.done;
    const auto json = Json::parse(event, nullptr, false);
    if (json.is_discarded())
        answer.malformed = true;
    else if (json.contains("error"))
        answer.error = json["error"];
    else
        answer.text += json["choices"][0].value("text", "");
}

auto readStream(std::string_view body) -> Answer
{
    auto answer = Answer();
    for (auto end = body.find("\n\n"); end != std::string_view::npos; end = body.find("\n\n")) {
        takeEvent(body.substr(0, end), answer);
        body.remove_prefix(end + 2);
    }
    return answer;
}

auto readWhole(const CallRecord& call) -> Answer
{
    auto answer = Answer();
    if (call.broken || call.silent || call.hungUp)
        return answer;
    const auto json = Json::parse(call.body, nullptr, false);
    if (json.is_object() && json.contains("error")) {
        answer.error = json["error"];
    } else if (json.is_object() && json.contains("choices")) {
        answer.text = json["choices"][0].value("text", "");
        answer.done = true;
    } else if (json.is_object() && json.contains("body")) {
        answer.text = json.value("body", "");
        answer.done = true;
    } else {
        answer.malformed = true;
    }
    return answer;
}

auto read(const CallRecord& call) -> Answer
{
    const auto streamed = call.stream && call.status == 200 && call.kind == CallRecord::Kind::Completion;
    return streamed ? readStream(call.body) : readWhole(call);
}

auto over(const CallRecord& call) -> bool { return !call.broken && !call.silent && !call.hungUp; }

/// `not_run`, `unknown` or `partial` where the answer says that it failed.
auto runOf(const Answer& answer) -> std::string
{
    return answer.error && answer.error->is_object() ? answer.error->value("run", "") : "";
}

class Check {
public:
    explicit Check(const History& history)
        : history_(history)
    {
        for (const auto& run : history.runs) {
            runsByPrompt_[run.prompt].push_back(&run);
            runsByRequest_[run.attempt.substr(0, run.attempt.rfind('.'))].push_back(&run);
        }
    }

    auto all() -> std::vector<Violation>
    {
        for (const auto& call : history_.calls)
            checkCall(call);
        checkVersionsOnlyRise();
        checkOnceOnly();
        checkLeaving();
        checkStops();
        checkConfiguration();
        for (const auto& unload : history_.unloadsInUse)
            note("eviction", "unload of an adapter in use: " + unload);
        for (const auto& crash : history_.crashes)
            note("process", crash);
        for (const auto& entry : history_.notRecovered)
            note("recovery", entry + " did not serve again after everything was mended");
        return std::move(violations_);
    }

private:
    auto note(std::string promise, std::string detail) -> void
    {
        violations_.push_back({ std::move(promise), std::move(detail) });
    }

    auto note(std::string promise, const CallRecord& call, const std::string& detail) -> void
    {
        note(std::move(promise),
            "call " + std::to_string(call.number) + " (" + call.model + ", " + call.requestId + ") at " + call.entry
                + ": " + detail);
    }

    auto checkCall(const CallRecord& call) -> void
    {
        const auto answer = read(call);
        if (call.trespass && call.status == 200)
            note("isolation", call, "a member got what it is not allowed");
        checkName(call);
        if (call.status == 200)
            checkText(call, answer);
        if (over(call) && call.status == 0)
            note("whole answer", call, "ended without a status");
        if (runOf(answer) == "not_run")
            checkNotRun(call, answer);
        const auto suffered = !call.trespass && !call.hungUp && !(answer.done && call.status == 200);
        if (history_.plannedOnly && suffered)
            note("planned stop", call, "suffered though only planned stops were played: " + outcomeOf(call));
    }

    auto checkName(const CallRecord& call) -> void
    {
        if (call.kind != CallRecord::Kind::Completion || call.status != 200)
            return;
        const auto at = call.model.find('@');
        if (call.adapter != call.model.substr(0, at))
            note("right adapter", call, "answered from " + call.adapter);
        if (at != std::string::npos && call.version != call.model.substr(at + 1))
            note("right version", call, "answered from version " + call.version);
    }

    [[nodiscard]] auto expected(const CallRecord& call) const -> std::optional<std::string>
    {
        if (call.kind != CallRecord::Kind::Completion)
            return call.prompt;
        const auto adapter = history_.digests.find(call.adapter);
        if (adapter == history_.digests.end() || !adapter->second.contains(call.version))
            return std::nullopt;
        const auto name = call.adapter + "@" + call.version + "#" + adapter->second.at(call.version);
        auto text = std::string();
        for (auto index = std::size_t(0); index < call.tokens; ++index)
            text += standins::expectedToken(name, call.prompt, index);
        return text;
    }

    auto checkText(const CallRecord& call, const Answer& answer) -> void
    {
        const auto right = expected(call);
        if (!right)
            return note("right version", call, "answered from a version that nobody made: " + call.version);
        if (cutByKill(call, answer))
            return;
        if (answer.malformed)
            return note("whole answer", call, "malformed: " + call.body);
        if (!right->starts_with(answer.text))
            return note("whole answer", call, "not the right text: " + answer.text);
        if (answer.done && answer.text != *right)
            return note("whole answer", call, "called whole, but is short: " + answer.text);
        if (over(call) && !answer.done && !answer.error)
            note("whole answer", call, "a silent cut: " + call.body);
    }

    /// The callers' library takes a connection that ends between two chunks for the end of the answer, though the last
    /// chunk is missing. Where the entry was killed during the call, what came is judged as that of a broken
    /// connection.
    [[nodiscard]] auto cutByKill(const CallRecord& call, const Answer& answer) const -> bool
    {
        const auto prefix = expected(call).value_or("").starts_with(answer.text);
        return over(call) && !answer.done && prefix
            && std::any_of(history_.faults.begin(), history_.faults.end(), [&](const auto& fault) {
                   return fault.kind == "kill_entry" && fault.victim == call.entry && fault.from >= call.sent
                       && fault.from <= call.ended;
               });
    }

    auto checkNotRun(const CallRecord& call, const Answer& answer) -> void
    {
        const auto id = answer.error->value("request_id", "");
        const auto found = runsByRequest_.find(id);
        if (found == runsByRequest_.end())
            return;
        const auto& run = *found->second.front();
        note("not run", call, "told not_run, but " + run.attempt + " started at " + run.where);
    }

    auto checkVersionsOnlyRise() -> void
    {
        // Calls by the moment of their end are walked in the order of their sending: what one call has seen before
        // another was sent, in the same process, the other must not fall behind.
        using Place = std::pair<std::string, std::string>;
        auto places = std::map<Place, std::vector<const CallRecord*>>();
        for (const auto& call : history_.calls) {
            const auto plain = call.kind == CallRecord::Kind::Completion && call.model.find('@') == std::string::npos;
            if (plain && call.status == 200)
                places[{ call.entry + "/" + std::to_string(call.entryLife), call.model }].push_back(&call);
        }
        for (auto& [place, calls] : places)
            checkRise(calls);
    }

    auto checkRise(const std::vector<const CallRecord*>& calls) -> void
    {
        auto bySent = calls;
        auto byEnded = calls;
        std::sort(bySent.begin(), bySent.end(), [](auto* left, auto* right) { return left->sent < right->sent; });
        std::sort(byEnded.begin(), byEnded.end(), [](auto* left, auto* right) { return left->ended < right->ended; });
        auto highest = std::uint64_t(0);
        auto seen = byEnded.begin();
        for (const auto* call : bySent) {
            for (; seen != byEnded.end() && (*seen)->ended < call->sent; ++seen)
                highest = std::max<std::uint64_t>(highest, std::stoull((*seen)->version));
            if (std::stoull(call->version) < highest)
                note("configuration", *call,
                    "version " + call->version + " after " + std::to_string(highest) + " was in force there");
        }
    }

    auto checkOnceOnly() -> void
    {
        auto prompts = std::set<std::string>();
        for (const auto& call : history_.calls) {
            if (!call.neverRepeat || !prompts.insert(call.prompt).second)
                continue;
            const auto found = runsByPrompt_.find(call.prompt);
            if (found == runsByPrompt_.end() || found->second.size() < 2)
                continue;
            auto places = std::string();
            for (const auto* run : found->second)
                places += " " + run->attempt + "@" + run->where;
            note("at most once", call, "ran " + std::to_string(found->second.size()) + " times:" + places);
        }
    }

    auto checkLeaving() -> void
    {
        auto sent = std::map<std::string, Moment>();
        for (const auto& call : history_.calls)
            sent[call.prompt] = std::max(sent[call.prompt], call.sent);
        for (const auto& stop : history_.stops) {
            for (const auto& run : history_.runs) {
                const auto there = run.where == stop.process + "-behind";
                const auto late = run.at > stop.asked + leavingGrace && run.at < stop.ended;
                const auto known = sent.find(run.prompt);
                if (there && late && known != sent.end() && known->second > stop.asked + leavingGrace)
                    note("leaving", run.attempt + " was sent and started at " + stop.process + " while it left");
            }
        }
    }

    auto checkStops() -> void
    {
        for (const auto& stop : history_.stops) {
            if (!stop.disturbed && stop.exitCode != 0)
                note("planned stop", stop.process + " ended with code " + std::to_string(stop.exitCode));
        }
    }

    auto checkConfiguration() -> void
    {
        auto byVersion = std::map<std::uint64_t, const PatchRecord*>();
        for (const auto& patch : history_.patches) {
            if (!patch.accepted)
                continue;
            if (!byVersion.emplace(*patch.accepted, &patch).second)
                note("configuration", "version " + std::to_string(*patch.accepted) + " was given to two patches");
            if (*patch.accepted != patch.base + 1)
                note("configuration", "a patch against a stale version was accepted");
            for (const auto& [entry, adapters] : history_.finalVersions)
                checkKept(entry, adapters, patch);
        }
        checkStatusesOnlyRise();
        for (const auto& status : history_.statuses)
            checkInForce(status, byVersion);
    }

    auto checkKept(const std::string& entry, const std::map<std::string, std::map<std::string, std::string>>& adapters,
        const PatchRecord& patch) -> void
    {
        const auto adapter = adapters.find(patch.adapter);
        const auto version = std::to_string(patch.adapterVersion);
        const auto kept = adapter != adapters.end() && adapter->second.contains(version)
            && adapter->second.at(version) == patch.digest;
        if (!kept)
            note("configuration", "accepted " + patch.adapter + "@" + version + " is missing at " + entry);
    }

    auto checkStatusesOnlyRise() -> void
    {
        auto highest = std::map<std::pair<std::string, int>, std::uint64_t>();
        for (const auto& status : history_.statuses) {
            auto& seen = highest[{ status.entry, status.entryLife }];
            if (status.version < seen) {
                note("configuration",
                    status.entry + " went back from version " + std::to_string(seen) + " to "
                        + std::to_string(status.version));
            }
            seen = std::max(seen, status.version);
        }
    }

    auto checkInForce(const StatusRecord& status, const std::map<std::uint64_t, const PatchRecord*>& byVersion) -> void
    {
        if (!status.ready)
            return;
        // Whatever disturbed the platform or this entry pushes the time from which it must know out.
        auto disturbed = [&](Moment accepted) {
            return std::any_of(history_.faults.begin(), history_.faults.end(), [&](const auto& fault) {
                const auto near = fault.victim == status.entry || fault.victim == "platform";
                return near && fault.until > accepted - configGrace && fault.from < status.ended;
            });
        };
        for (const auto& [version, patch] : byVersion) {
            const auto due = patch->ended + configGrace < status.sent;
            if (due && status.version < version && !disturbed(patch->ended))
                return note("configuration",
                    status.entry + " does not have version " + std::to_string(version) + " in force after 10 s");
        }
    }

    const History& history_;
    std::map<std::string, std::vector<const RunRecord*>> runsByPrompt_;
    std::map<std::string, std::vector<const RunRecord*>> runsByRequest_;
    std::vector<Violation> violations_;
};

} // namespace

auto check(const History& history) -> std::vector<Violation> { return Check(history).all(); }

auto outcomeOf(const CallRecord& call) -> std::string
{
    if (call.hungUp)
        return "hung_up";
    if (call.silent)
        return "silent";
    const auto answer = read(call);
    if (call.status == 200 && answer.done)
        return "whole";
    if (call.broken)
        return call.status == 0 ? "no_answer" : "broken";
    const auto type = answer.error && answer.error->is_object() ? answer.error->value("type", "") : "malformed";
    return type + "/" + runOf(answer);
}

} // namespace eelgrass::chaos
