#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// One complete server-sent event, as the replica wrote it.
struct StreamEvent {
    /// Includes the empty line that ends the event.
    std::string text;
    std::optional<std::uint64_t> id;
};

/// Splits a stream of server-sent events into complete events. A stream that breaks within an event can then be resumed
/// at another replica without sending the client a partial event.
class EventSplitter {
public:
    /// Adds bytes and returns the events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<StreamEvent>;
    /// Bytes of the last event, which is incomplete.
    [[nodiscard]] auto incomplete() const noexcept -> const std::string& { return pending_; }
    auto clear() -> void { pending_.clear(); }

private:
    std::string pending_;
};

} // namespace eelgrass::serving
