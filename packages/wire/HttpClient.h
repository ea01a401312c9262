#pragma once

#include "wire/GlibStream.h"
#include "wire/HttpReader.h"

#include <kj/async.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace eelgrass::wire {

/// A request that this process sends.
struct HttpRequest {
    std::string method = "GET";
    /// Absolute, with an IP address as the host.
    std::string url;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    /// Must reach the peer at most once: it goes out on a connection of its own. A GET without it may go out on a kept
    /// connection, and a second time if that turns out to be closed.
    bool once = false;
};

/// Whether the peer was not even reached, so that it cannot have acted on the request.
[[nodiscard]] auto neverReached(const kj::Exception& failure) -> bool;

/// A whole answer.
struct HttpResponse {
    int status = 0;
    std::string contentType;
    std::string body;
    /// Names this state of the resource; empty where the peer gives none.
    std::string etag;
};

/// An answer read piece by piece; destroying it closes the connection, which cancels the work behind it.
class HttpStream {
public:
    /// Where a connection goes whose answer was read to its end and that the peer keeps.
    using Keep = std::function<void(kj::Own<GlibStream>)>;

    HttpStream(kj::Own<GlibStream> connection, std::chrono::seconds silence, Keep keep);
    HttpStream(const HttpStream&) = delete;
    auto operator=(const HttpStream&) -> HttpStream& = delete;

    /// Kept when the answer's head is there; rejects when the connection breaks before.
    [[nodiscard]] auto readHead() -> kj::Promise<void>;
    [[nodiscard]] auto status() const noexcept -> int { return reader_.head().status; }
    [[nodiscard]] auto header(const char* name) const -> std::string;
    /// The next bytes as they come; empty at the end. Rejects when the connection breaks, or ends before the answer
    /// does.
    [[nodiscard]] auto read() -> kj::Promise<std::string>;
    /// Everything up to the end; rejects over `limit` bytes.
    [[nodiscard]] auto readAll(std::size_t limit) -> kj::Promise<std::string>;
    /// Whether anything has come from the peer.
    [[nodiscard]] auto heard() const noexcept -> bool { return heard_; }

private:
    auto receive() -> kj::Promise<void>;
    auto gather(std::string so, std::size_t limit) -> kj::Promise<std::string>;
    auto giveBack() -> void;

    kj::Own<GlibStream> connection_;
    std::chrono::seconds silence_;
    Keep keep_;
    ResponseReader reader_;
    std::string input_;
    std::string body_;
    std::array<char, 16384> buffer_ {};
    bool heard_ = false;
};

/// HTTP towards platform, engines and services. Framing is strict: an answer that is cut, wherever, is never whole.
///
/// ```cpp
/// auto answer = client.fetch({ .url = "http://127.0.0.1:8000/v1/models" });
/// ```
class HttpClient {
public:
    /// Keeps `connections` idle connections at most; `timeout` bounds the silence on one, in seconds, 0 for none.
    HttpClient(unsigned connections, unsigned timeout);

    [[nodiscard]] auto open(HttpRequest request) -> kj::Promise<kj::Own<HttpStream>>;
    [[nodiscard]] auto fetch(HttpRequest request) -> kj::Promise<HttpResponse>;

private:
    struct Pool;
    [[nodiscard]] auto openOn(kj::Own<GlibStream> connection, const HttpRequest& request)
        -> kj::Promise<kj::Own<HttpStream>>;
    [[nodiscard]] auto openFresh(HttpRequest request) -> kj::Promise<kj::Own<HttpStream>>;

    std::chrono::seconds silence_;
    /// Outlives streams that give their connections back.
    std::shared_ptr<Pool> pool_;
};

} // namespace eelgrass::wire
