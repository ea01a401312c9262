#pragma once

#include "serving/Types.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace eelgrass::serving {

/// Names a stream over all attempts of its client. Attempt ids of different members may be equal.
struct StreamId {
    MemberId member;
    /// The client's attempt that brought the first event.
    AttemptId attempt;

    friend auto operator<=>(const StreamId&, const StreamId&) -> std::strong_ordering = default; // NOLINT
};

/// Where a stream began. What two software versions of a service write does not fit together, so the stream may
/// continue only at a replica of the same service and version.
struct StreamOrigin {
    ServiceName service;
    SoftwareVersion software;

    friend auto operator==(const StreamOrigin&, const StreamOrigin&) -> bool = default;
    [[nodiscard]] auto allows(const ReplicaRecord& replica) const noexcept -> bool
    {
        return !software.empty() && software == replica.software && service == replica.service;
    }
};

/// The origins of streams that clients may resume, as far as this process knows them. Bounded in number; each is kept
/// for as long as its client may resume the stream.
class StreamOrigins {
public:
    struct Known {
        StreamOrigin origin;
        Moment notedAt {};
        Moment keptUntil {};
    };

    /// A stream and its origin, as one process tells another.
    struct Statement {
        StreamId stream;
        Known known;
    };

    /// Number of streams that are kept; the oldest ones yield.
    static constexpr auto defaultCapacity = std::size_t(8192);

    explicit StreamOrigins(std::size_t capacity = defaultCapacity)
        : capacity_(capacity)
    {
    }

    auto note(const StreamId& stream, const StreamOrigin& origin, Moment now, Duration keep) -> void;
    /// Empty if the stream is not known, or if the client has used one attempt id for streams of different origins.
    [[nodiscard]] auto find(const StreamId& stream, Moment now) const -> std::optional<Known>;
    [[nodiscard]] auto size() const noexcept -> std::size_t { return known_.size(); }

private:
    struct Entry {
        Known known;
        bool conflicting = false;
    };
    auto forgetOld(Moment now) -> void;

    std::size_t capacity_;
    std::map<StreamId, Entry> known_;
    /// In the order in which they were first noted.
    std::deque<StreamId> order_;
};

} // namespace eelgrass::serving
