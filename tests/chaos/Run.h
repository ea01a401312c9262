#pragma once

#include "tests/chaos/History.h"
#include "tests/chaos/Plan.h"
#include "tests/harness/Deployment.h"

#include <map>
#include <memory>
#include <set>

namespace eelgrass::chaos {

/// Plays one plan with real processes and records what everybody saw.
///
/// ```cpp
/// const auto violations = check(Run(makePlan(seed, {})).execute());
/// ```
class Run {
public:
    /// What each process logged is kept in `logFolder`, if that is not empty.
    explicit Run(Plan plan, std::string logFolder = {});

    auto execute() -> History;

private:
    using Call = std::shared_ptr<CallRecord>;
    struct Adapter {
        std::string name;
        bool shared = false;
        std::uint64_t versions = 1;
    };

    auto deploy() -> void;
    auto document() -> tests::Json;

    auto caller(std::size_t index, std::shared_ptr<Choices> choices) -> kj::Promise<void>;
    auto choose(Choices& choices) -> Call;
    auto chooseCompletion(Choices& choices, CallRecord& call) -> void;
    /// Sends a call and, where its outcome leaves the caller in doubt, sends it again under the same key.
    auto perform(const Call& call, std::shared_ptr<Choices> choices, int tries) -> kj::Promise<void>;
    auto send(const Call& call, bool hangUp) -> kj::Promise<void>;
    auto readOn(const Call& call, kj::Own<wire::HttpStream> stream, bool hangUp) -> kj::Promise<void>;
    [[nodiscard]] auto requestOf(const CallRecord& call) const -> wire::HttpRequest;
    /// An entry that the balancer would choose; empty when there is none.
    auto pickEntry(Choices& choices) -> std::string;

    auto patcher(std::shared_ptr<Choices> choices, std::uint64_t base) -> kj::Promise<void>;
    auto submit(const std::string& entry, PatchRecord patch) -> kj::Promise<std::uint64_t>;
    auto watcher(std::string entry) -> kj::Promise<void>;
    auto crashWatcher() -> kj::Promise<void>;

    auto play(const Fault& fault) -> kj::Promise<void>;
    auto strike(const Fault& fault) -> kj::Promise<void>;
    auto kill(const std::string& victim, Duration pause) -> kj::Promise<void>;
    auto freeze(const std::string& victim, Duration time) -> kj::Promise<void>;
    auto stop(const std::string& victim) -> kj::Promise<void>;
    auto awaitEnd(const std::string& victim, std::size_t record) -> kj::Promise<void>;
    auto crashRequest(int times) -> kj::Promise<void>;
    auto playAt(const std::string& url, const char* key, const tests::Json& value) -> kj::Promise<void>;
    /// Sets a fault on the connections from all entries to a target process.
    auto disturb(const std::string& target, const tests::Json& settings) -> kj::Promise<void>;
    auto relaunch(const std::string& name) -> kj::Promise<void>;

    auto recover() -> kj::Promise<void>;
    auto probe(const std::string& entry, int tries) -> kj::Promise<void>;
    /// Records what the entry holds and tells its version.
    [[nodiscard]] auto highestAccepted() const -> std::uint64_t;
    auto finalVersions(const std::string& entry) -> kj::Promise<std::uint64_t>;
    auto keepFinalVersions(const std::string& entry, const tests::Json& document) -> void;
    auto gather(const std::string& process, const std::string& log) -> void;

    Plan plan_;
    std::string logFolder_;
    tests::Deployment deployment_ { { tests::Leg::Target } };
    /// A library that never reuses a connection for a POST keeps the old ones; few are enough for all callers.
    wire::HttpClient http_ { 64, 0 };
    History history_;
    std::vector<Adapter> adapters_;
    std::map<std::string, int> lives_;
    /// Processes that another fault has hold of; a fault that finds its victim here is left out.
    std::set<std::string> busy_;
    /// Entries that the balancer passes over.
    std::set<std::string> unlisted_;
    std::uint64_t calls_ = 0;
    bool over_ = false;
    bool recovering_ = false;
};

} // namespace eelgrass::chaos
