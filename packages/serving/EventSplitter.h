#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// One whole event of a stream, as the replica wrote it.
struct StreamEvent {
    /// With the empty line that ends it.
    std::string text;
    std::optional<std::uint64_t> id;
};

/// Cuts a stream's bytes into whole events, so that a stream that breaks in the middle of one can go on at another
/// replica without half an event before it.
class EventSplitter {
public:
    /// Takes more bytes; the events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::vector<StreamEvent>;
    /// Bytes of an event that has not ended yet.
    [[nodiscard]] auto rest() const noexcept -> const std::string& { return pending_; }
    auto clear() -> void { pending_.clear(); }

private:
    std::string pending_;
};

} // namespace eelgrass::serving
