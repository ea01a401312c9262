#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace eelgrass::decisions {

/// Which requests were running when engines died, by their digest (member, adapter and body).
///
/// Load made for: a request that crashes every engine that runs it, sent again and again. After the first crash it is a
/// suspect and runs alone; if it then takes a second engine down it is the culprit, and is refused. An innocent request
/// that ran beside it is cleared by its own success.
///
/// ```cpp
/// if (quarantine.crashed(digest, before) >= Quarantine::limit) ...
/// ```
class Quarantine {
public:
    /// Crashes after which a request is refused: one may be bad luck beside another, the second came alone.
    static constexpr auto limit = std::uint32_t(2);

    /// Counts the crash of an attempt that was started when the count was `before`; the count as it then is. Crashes of
    /// attempts that ran at the same time count as one, since none of them ran as a known suspect.
    auto crashed(const std::string& digest, std::uint32_t before) -> std::uint32_t;
    /// Takes over what another process counted.
    auto learn(const std::string& digest, std::uint32_t crashes) -> void;
    /// The request ran to its end.
    auto succeeded(const std::string& digest) -> void;

    [[nodiscard]] auto crashes(const std::string& digest) const -> std::uint32_t;
    [[nodiscard]] auto refused(const std::string& digest) const -> bool { return crashes(digest) >= limit; }
    /// Digests that crashed an engine and are not cleared.
    [[nodiscard]] auto known() const -> const std::map<std::string, std::uint32_t>& { return crashes_; }

private:
    // Digests remembered: an engine's death makes one batch of suspects, so this holds a hundred deaths.
    static constexpr auto capacity = std::size_t(1000);
    auto raise(const std::string& digest, std::uint32_t crashes) -> void;

    std::map<std::string, std::uint32_t> crashes_;
    std::deque<std::string> order_;
};

} // namespace eelgrass::decisions
