#pragma once

#include "base/Clock.h"
#include "platform/Documents.h"
#include "serving/Types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrass::serving {

/// The newest version of an adapter that a process knows of.
struct KnownVersion {
    /// The lowest version that a request may run on; 1 if the operator has named none.
    AdapterVersion version { 1 };
    /// When this process learned of it; empty if none has been named.
    std::optional<Moment> learnedAt {};
    /// The operator named it at this moment or later; empty if this cannot be told.
    std::optional<Moment> namedAfter {};
    /// Where this process learned of it: the store, or another process.
    std::string source {};
};

/// The adapter versions that the operator has named, as one process knows them. A version never falls, whatever the
/// order in which the sources report it.
///
/// ```cpp
/// versions.apply(named, { .source = "store", .namedAfter = lastConfirmed }, now);
/// const auto lowest = versions.of(model, adapter).version;
/// ```
class AdapterVersions {
public:
    struct News {
        std::string_view source;
        std::optional<Moment> namedAfter {};
    };
    /// Called for each version that comes into force, with how long ago it was named at the most.
    using OnInForce = std::function<void(Duration age)>;

    explicit AdapterVersions(OnInForce onInForce = {});

    /// Returns whether the version is newer than the one known.
    auto apply(const hosting::NamedVersion& named, const News& news, Moment now) -> bool;
    [[nodiscard]] auto of(const BaseModel& model, const AdapterName& adapter) const -> const KnownVersion&;

    /// All named versions, in the JSON format that peers exchange.
    [[nodiscard]] auto json(Moment now) const -> std::string;
    /// A value that changes with the versions, but not with their ages.
    [[nodiscard]] auto fingerprint() const noexcept -> std::uint64_t { return fingerprint_; }
    /// Applies another process's `json`, received in answer to a query of `askedAt`.
    auto applyJson(std::string_view text, std::string_view source, Moment askedAt, Moment now) -> void;

private:
    /// Nested, so that a lookup copies no name: each placement asks once for every replica.
    std::map<BaseModel, std::map<AdapterName, KnownVersion>> versions_;
    std::uint64_t fingerprint_ = 0;
    OnInForce onInForce_;
};

} // namespace eelgrass::serving
