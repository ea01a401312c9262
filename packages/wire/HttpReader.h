#pragma once

#include "wire/HttpHead.h"

#include <cstdint>
#include <memory>
#include <string>

namespace eelgrass::wire {

/// Why bytes are no HTTP message that this process takes.
enum class HttpFault {
    None,
    /// Framing or syntax that is wrong or that two readers could take differently.
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/// Bounds on what a stranger may send.
struct HttpLimits {
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
};

/// Reads requests from a connection's bytes, one after the other, with strict framing.
///
/// Refused as malformed, since another reader could see other requests in the same bytes (request smuggling): a
/// Content-Length beside Transfer-Encoding, two lengths, transfer codings other than `chunked`, no Host or two.
///
/// ```cpp
/// reader.feed(connection.input());
/// if (reader.complete()) serve(reader.take());
/// ```
class RequestReader {
public:
    explicit RequestReader(HttpLimits limits);
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    auto operator=(const RequestReader&) -> RequestReader& = delete;

    /// Takes what belongs to the request off the front of `input`.
    auto feed(std::string& input) -> HttpFault;
    /// Some bytes of a request have come.
    [[nodiscard]] auto begun() const noexcept -> bool;
    [[nodiscard]] auto headComplete() const noexcept -> bool;
    [[nodiscard]] auto complete() const noexcept -> bool;
    /// The client waits for a go-ahead before it sends the body.
    [[nodiscard]] auto expectsContinue() const noexcept -> bool;
    /// The request, once complete; the reader is then ready for the next one.
    [[nodiscard]] auto take() -> HttpRequestMessage;
    auto setLimits(HttpLimits limits) -> void { limits_ = limits; }

private:
    class Parser;
    auto restart() -> void;

    HttpLimits limits_;
    std::unique_ptr<Parser> parser_;
    bool begun_ = false;
};

/// Reads one answer as it comes. An answer whose framing is not complete is never called whole: not at a cut between
/// two chunks, and not at a reset.
class ResponseReader {
public:
    explicit ResponseReader(bool toHead = false);
    ~ResponseReader();
    ResponseReader(const ResponseReader&) = delete;
    auto operator=(const ResponseReader&) -> ResponseReader& = delete;

    /// Takes what belongs to the answer off the front of `input`; body bytes are appended to `body`.
    auto feed(std::string& input, std::string& body) -> HttpFault;
    /// The peer closed in order; completes an answer that has no length.
    auto finish() -> void;

    [[nodiscard]] auto headComplete() const noexcept -> bool;
    [[nodiscard]] auto complete() const noexcept -> bool;
    [[nodiscard]] auto head() const noexcept -> const HttpResponseHead&;
    /// Whether the connection may carry another request.
    [[nodiscard]] auto keepAlive() const noexcept -> bool;

private:
    class Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace eelgrass::wire
