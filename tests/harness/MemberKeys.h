#pragma once

#include "base/Clock.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// Members whose keys come and go, and the users' bound on keys that were taken away, judged from what clients sent and
/// what ran.
class MemberKeys {
public:
    /// A request sent later than this after the acknowledgement of the configuration without its key does not run.
    static constexpr auto bound = Duration(5s);

    struct Key {
        std::string text;
        std::string member;
        /// When the configuration with it was acknowledged.
        std::optional<Moment> addedAt {};
        /// When the configuration without it was sent to the store, and when it was acknowledged.
        std::optional<Moment> removalSentAt {};
        std::optional<Moment> removedAt {};
    };
    /// A request as its client saw it.
    struct Call {
        std::string attempt;
        std::string key;
        Moment sentAt {};
        Moment endedAt {};
    };

    explicit MemberKeys(std::size_t members);

    /// Gives a member another key in place of one of its two; `acknowledged` follows with the number returned.
    auto change(std::mt19937_64& random, Moment now) -> std::size_t;
    auto acknowledged(std::size_t change, Moment now) -> void;
    /// All keys were acknowledged with the first configuration.
    auto acknowledgedFirst(Moment now) -> void;
    /// The members as a configuration has them.
    [[nodiscard]] auto json() const -> nlohmann::json;
    /// A key of a configuration in force, or now and then one that was taken away less than `recent` ago.
    [[nodiscard]] auto draw(std::mt19937_64& random, Moment now) const -> std::string;
    /// One living key of each member.
    [[nodiscard]] auto living() const -> std::vector<std::string>;

    /// How long after the acknowledgement of its removal a key was sent; empty for one that was not taken away before.
    [[nodiscard]] auto sentAfterRemoval(const Call& call) const -> std::optional<Duration>;
    /// Whether the key was in force from `settled` before the request until its end.
    [[nodiscard]] auto livedThrough(const Call& call, Duration settled) const -> bool;

private:
    struct Change {
        std::string added;
        std::string removed;
    };
    auto add(const std::string& member) -> std::string;

    std::map<std::string, Key> keys_;
    /// The keys of each member, the oldest first.
    std::map<std::string, std::vector<std::string>> byMember_;
    std::vector<Change> changes_;
    std::vector<std::string> removed_;
};

} // namespace eelgrass::tests
