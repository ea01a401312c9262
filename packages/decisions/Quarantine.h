#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace eelgrass::decisions {

/// Counts engine crashes by the digest (of member, adapter and body) of the requests that were running.
///
/// Designed for a request that crashes every engine that runs it and is sent repeatedly. After its first crash a
/// request is suspected and runs alone. If an engine crashes again while the suspected request runs, the request is
/// refused from then on and crashes no further engines. Other requests that were running during a crash are cleared
/// when they succeed.
///
/// ```cpp
/// if (quarantine.crashed(digest, before) >= Quarantine::limit) ...
/// ```
class Quarantine {
public:
    /// Crashes after which a request is refused. The first crash may have been caused by a concurrent request; at the
    /// second one the request ran alone.
    static constexpr auto limit = std::uint32_t(2);

    /// Counts the crash of an attempt that was started when the count was `before`, and returns the new count. Crashes
    /// of concurrent attempts count as one, because none of these attempts ran as a known suspect.
    auto crashed(const std::string& digest, std::uint32_t before) -> std::uint32_t;
    /// Applies the count of another process, if it is higher.
    auto learn(const std::string& digest, std::uint32_t crashes) -> void;
    /// Clears the request after it ran to completion, unless it is already refused.
    auto succeeded(const std::string& digest) -> void;

    [[nodiscard]] auto crashes(const std::string& digest) const -> std::uint32_t;
    [[nodiscard]] auto refused(const std::string& digest) const -> bool { return crashes(digest) >= limit; }
    /// The digests that have not been cleared, and their counts.
    [[nodiscard]] auto known() const -> const std::map<std::string, std::uint32_t>& { return crashes_; }

private:
    // Number of digests kept. A crash adds the digests of one batch, so this covers about a hundred crashes.
    static constexpr auto capacity = std::size_t(1000);
    auto raiseTo(const std::string& digest, std::uint32_t crashes) -> void;

    std::map<std::string, std::uint32_t> crashes_;
    std::deque<std::string> order_;
};

} // namespace eelgrass::decisions
