#pragma once

#include "wire/GlibStream.h"
#include "wire/OpenRequests.h"

#include <libsoup/soup.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrass::wire {

/// One request that came in and the answer to it, whole or streamed.
///
/// Everything may be called after the caller hung up; it then does nothing.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    /// While `*closing`, the answer announces that its connection closes.
    HttpExchange(SoupServerMessage* message, std::shared_ptr<const bool> closing);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    auto operator=(const HttpExchange&) -> HttpExchange& = delete;

    [[nodiscard]] auto method() const noexcept -> const std::string& { return method_; }
    [[nodiscard]] auto path() const noexcept -> const std::string& { return path_; }
    /// Value of one query parameter; empty when absent.
    [[nodiscard]] auto query(const char* name) const -> std::string;
    [[nodiscard]] auto queryString() const noexcept -> const std::string& { return query_; }
    /// Value of a request header; empty when absent.
    [[nodiscard]] auto header(const char* name) const -> std::string;
    [[nodiscard]] auto body() const -> std::string_view;

    auto setHeader(const char* name, const std::string& value) -> void;
    /// Sends a whole answer and ends the exchange.
    auto respond(int status, std::string_view contentType, std::string_view body) -> void;
    /// Sends status and headers; pieces follow through `send`, then `finish`.
    auto begin(int status, std::string_view contentType) -> void;
    auto send(std::string_view piece) -> void;
    auto finish() -> void;
    /// Ends a streamed answer by closing the connection, so that the caller sees that it is not whole.
    auto abort() -> void;

    /// Bytes handed over that the connection has not taken yet.
    [[nodiscard]] auto backlog() const noexcept -> std::size_t { return backlog_; }
    /// Told each time the backlog shrinks.
    auto onDrained(std::function<void()> callback) -> void { onDrained_ = std::move(callback); }
    /// Told once, when the exchange is over; `whole` is false if the caller hung up first.
    auto onOver(std::function<void(bool whole)> callback) -> void { onOver_ = std::move(callback); }
    [[nodiscard]] auto over() const noexcept -> bool { return !message_; }
    [[nodiscard]] auto begun() const noexcept -> bool { return answered_; }

private:
    static auto wroteChunk(SoupServerMessage*, gpointer self) -> void;
    static auto finished(SoupServerMessage*, gpointer self) -> void;
    static auto readable(GSocket* socket, GIOCondition condition, gpointer self) -> gboolean;
    auto end(bool whole) -> void;
    auto flush() -> void;
    auto announceClose() -> void;
    auto watchHangUp() -> void;
    auto watch(GIOCondition condition) -> void;
    auto stopWatching() -> void;

    ObjectPtr<SoupServerMessage> message_;
    std::shared_ptr<const bool> closing_;
    std::string method_;
    std::string path_;
    std::string query_;
    std::string body_;
    std::string pending_;
    GSource* watch_ = nullptr;
    std::size_t backlog_ = 0;
    bool streaming_ = false;
    bool writing_ = false;
    bool completed_ = false;
    bool answered_ = false;
    std::function<void()> onDrained_;
    std::function<void(bool)> onOver_;
    std::shared_ptr<HttpExchange> self_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Serves HTTP/1.1 on one address; bodies over the limit get 413 before they are gathered, and a connection on which
/// nothing moves for `silence` is closed, so that callers which stop halfway hold no more than that.
class HttpServer {
public:
    using Handler = std::function<void(const HttpExchangePtr&)>;

    HttpServer(const std::string& address, std::uint16_t port, std::size_t bodyLimit, Handler handler,
        std::chrono::seconds silence = std::chrono::seconds(0));
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return port_; }
    /// Takes no further connections; those under way go on.
    auto close() -> void;
    /// Ends each connection with its next answer, which announces that.
    auto announceClose() -> void { *closing_ = true; }
    /// Takes no further connections, once those that the kernel has completed are accepted. Returns whether the server
    /// has stopped listening.
    [[nodiscard]] auto stopListening() -> bool;
    /// Closes the connections without a request in flight.
    auto closeIdle() const -> void { requests_.closeIdle(); }
    [[nodiscard]] auto requests() const -> RequestCounts { return requests_.count(); }

private:
    static auto started(SoupServer*, SoupServerMessage* message, gpointer self) -> void;
    static auto handle(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self) -> void;
    static auto gotHeaders(SoupServerMessage* message, gpointer self) -> void;
    static auto gotChunk(SoupServerMessage* message, GBytes*, gpointer self) -> void;

    std::shared_ptr<bool> closing_ = std::make_shared<bool>(false);
    ObjectPtr<SoupServer> server_;
    OpenRequests requests_;
    std::size_t bodyLimit_;
    Handler handler_;
    /// Zero for no limit.
    std::chrono::seconds silence_;
    std::uint16_t port_ = 0;
};

} // namespace eelgrass::wire
