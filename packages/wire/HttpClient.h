#pragma once

#include "wire/GlibStream.h"

#include <kj/async.h>
#include <libsoup/soup.h>

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
    /// Must reach the peer at most once: it goes out on a connection of its own, since libsoup sends an idempotent
    /// method again by itself when a reused connection turns out to be closed.
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
    HttpStream(ObjectPtr<SoupMessage> message, ObjectPtr<GInputStream> input, std::string peer);
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    auto operator=(const HttpStream&) -> HttpStream& = delete;

    [[nodiscard]] auto status() const noexcept -> int;
    [[nodiscard]] auto header(const char* name) const -> std::string;
    /// The next bytes as they come; empty at the end. Rejects when the connection breaks.
    [[nodiscard]] auto read() -> kj::Promise<std::string>;
    /// Everything up to the end; rejects over `limit` bytes.
    [[nodiscard]] auto readAll(std::size_t limit) -> kj::Promise<std::string>;

private:
    auto gather(std::string so, std::size_t limit) -> kj::Promise<std::string>;

    ObjectPtr<SoupMessage> message_;
    ObjectPtr<GInputStream> input_;
    ObjectPtr<GCancellable> cancellable_;
    std::string peer_;
};

/// HTTP towards platform, engines and services, by libsoup on the GLib loop.
///
/// ```cpp
/// auto answer = client.fetch({ .url = "http://127.0.0.1:8000/v1/models" });
/// ```
class HttpClient {
public:
    /// `timeout` bounds the silence on a connection, in seconds; 0 for none.
    explicit HttpClient(unsigned connections, unsigned timeout);

    [[nodiscard]] auto open(HttpRequest request) -> kj::Promise<kj::Own<HttpStream>>;
    [[nodiscard]] auto fetch(HttpRequest request) -> kj::Promise<HttpResponse>;

private:
    ObjectPtr<SoupSession> session_;
};

} // namespace eelgrass::wire
