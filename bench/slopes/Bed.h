#pragma once

#include "bench/slopes/CountingRelay.h"
#include "tests/harness/Deployment.h"

#include <memory>
#include <string>
#include <vector>

namespace eelgrass::bench {

using Json = nlohmann::json;

/// A deployment whose bytes are counted: an entry that reaches the platform through a relay, and hosts listed at will.
class Bed {
public:
    explicit Bed(const std::string& folder);

    tests::Deployment deployment;

    /// Starts an entry behind its own relay and waits until it is ready.
    auto startEntry(const std::string& name) -> void;
    [[nodiscard]] auto pid(const std::string& entry) const -> int { return entries_.at(entry).process->pid(); }
    /// Bytes between this entry and the platform.
    [[nodiscard]] auto platformBytes(const std::string& entry) const -> std::uint64_t;
    auto call(const std::string& entry, const std::string& method, const std::string& path, const std::string& body,
        const std::string& ifMatch = {}) -> wire::HttpResponse;
    auto patch(const std::string& entry, std::uint64_t base, const Json& patch) -> void;
    auto awaitVersion(const std::string& entry, std::uint64_t version) -> void;
    auto complete(const std::string& entry, const std::string& model, int tokens, const std::string& prompt)
        -> kj::Promise<void>;
    /// Replaces the platform's host list.
    auto listHosts(const Json& hosts) -> void;
    auto pause(Duration time) -> void { deployment.loop.wait(deployment.loop.sleep(time)); }

private:
    struct Entry {
        std::unique_ptr<CountingRelay> relay;
        std::unique_ptr<tests::Process> process;
        std::string url;
    };
    std::string folder_;
    std::map<std::string, Entry> entries_;
};

/// A configuration patch of adapters `first` to `last`, each of them about as large as a real one.
[[nodiscard]] auto adaptersPatch(int first, int last) -> Json;
[[nodiscard]] auto adapterName(int index) -> std::string;
/// Records of the platform's host list that nobody listens at.
[[nodiscard]] auto silentHosts(int count) -> Json;

} // namespace eelgrass::bench
