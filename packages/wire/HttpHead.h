#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::wire {

/// Header fields in the order in which they came; names compare without regard to case.
class HeaderFields {
public:
    struct Field {
        std::string name;
        std::string value;
    };

    auto add(std::string_view name, std::string_view value) -> void;
    /// Removes every field of this name, then adds one.
    auto set(std::string_view name, std::string_view value) -> void;
    auto remove(std::string_view name) -> void;
    /// The first value; empty when there is none.
    [[nodiscard]] auto get(std::string_view name) const noexcept -> std::string_view;
    [[nodiscard]] auto count(std::string_view name) const noexcept -> std::size_t;
    [[nodiscard]] auto all() const noexcept -> const std::vector<Field>& { return fields_; }
    auto clear() -> void { fields_.clear(); }

    /// Drops what concerns one connection only: Connection and what it names, Keep-Alive, Transfer-Encoding, Trailer,
    /// Upgrade, TE, Proxy-Connection, Expect, Content-Length.
    auto removeHopByHop() -> void;

private:
    std::vector<Field> fields_;
};

/// Whether two header names are the same.
[[nodiscard]] auto sameName(std::string_view, std::string_view) noexcept -> bool;
/// A whole non-negative decimal number; empty for anything else.
[[nodiscard]] auto decimal(std::string_view) noexcept -> std::optional<std::uint64_t>;

/// A request as it came in, its body gathered.
struct HttpRequestMessage {
    std::string method;
    /// Path and query as sent.
    std::string target;
    HeaderFields fields;
    std::string body;
    bool keepAlive = true;

    [[nodiscard]] auto path() const noexcept -> std::string_view;
};

/// Status line and fields of an answer.
struct HttpResponseHead {
    int status = 0;
    HeaderFields fields;
};

/// The reason phrase that goes with a status.
[[nodiscard]] auto reasonPhrase(int status) noexcept -> std::string_view;

/// The text of a request head with a Content-Length, ready to be followed by the body.
[[nodiscard]] auto requestHeadText(
    std::string_view method, std::string_view target, const HeaderFields& fields, std::size_t bodySize) -> std::string;
/// The text of an answer's head; the framing fields are the caller's.
[[nodiscard]] auto responseHeadText(const HttpResponseHead& head) -> std::string;

} // namespace eelgrass::wire
