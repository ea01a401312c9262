#include "wire/HttpServer.h"

#include "base/Secrets.h"
#include "wire/ListeningSocket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace eelgrass::wire {

namespace {

constexpr auto gatheredKey = "eelgrass-gathered";
constexpr auto requestIdBytes = std::size_t(12);

/// Why a request is refused before any handler sees it.
struct EarlyRefusal {
    SoupStatus status;
    const char* phrase;
    const char* type;
    const char* message;
};
constexpr auto tooLarge = EarlyRefusal { SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "Request Entity Too Large",
    "body_too_large", "the body is larger than this service takes" };
constexpr auto ambiguous = EarlyRefusal { SOUP_STATUS_BAD_REQUEST, "Bad Request", "ambiguous_length",
    "the length of the body is given in more than one way" };

auto refusalText(const EarlyRefusal& refusal) -> std::string
{
    const auto id = randomHex(requestIdBytes);
    const auto body = std::string(R"({"error":{"type":")") + refusal.type + R"(","message":")" + refusal.message
        + R"(","step":"parse","peer":"","run":"not_run","request_id":")" + id + R"("}})";
    return "HTTP/1.1 " + std::to_string(refusal.status) + " " + refusal.phrase
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nX-Request-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto refuseEarly(SoupServerMessage* message, const EarlyRefusal& refusal) -> void
{
    soup_server_message_set_status(message, refusal.status, nullptr);
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    // libsoup answers only when it has read the whole body, which may never end. So the refusal goes out past it, and
    // the writing side is closed; the reading side stays open, since a reset could overtake the refusal.
    auto* socket = soup_server_message_get_socket(message);
    const auto answer = refusalText(refusal);
    g_socket_send(socket, answer.data(), answer.size(), nullptr, nullptr);
    g_socket_shutdown(socket, FALSE, TRUE, nullptr);
}

auto refusedEarly(SoupServerMessage* message) -> bool
{
    const auto status = soup_server_message_get_status(message);
    return status == tooLarge.status || status == ambiguous.status;
}

/// Whether another reader could see other requests in the same bytes.
auto hasAmbiguousLength(SoupMessageHeaders* headers) -> bool
{
    const auto* lengths = soup_message_headers_get_list(headers, "Content-Length");
    const auto* codings = soup_message_headers_get_list(headers, "Transfer-Encoding");
    return lengths && (codings || std::string_view(lengths).find(',') != std::string_view::npos);
}

} // namespace

HttpExchange::HttpExchange(SoupServerMessage* message, std::shared_ptr<const bool> closing)
    : message_(SOUP_SERVER_MESSAGE(g_object_ref(message)))
    , closing_(std::move(closing))
    , method_(soup_server_message_get_method(message))
    , path_(g_uri_get_path(soup_server_message_get_uri(message)))
    , query_(g_uri_get_query(soup_server_message_get_uri(message))
              ? g_uri_get_query(soup_server_message_get_uri(message))
              : "")
{
    auto* request = soup_server_message_get_request_body(message);
    auto* bytes = soup_message_body_flatten(request);
    auto size = gsize(0);
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    body_.assign(data ? data : "", size);
    g_bytes_unref(bytes);
    // libsoup's own copy would live as long as the answer.
    soup_message_body_truncate(request);
    g_signal_connect(message, "wrote-chunk", G_CALLBACK(wroteChunk), this);
    g_signal_connect(message, "wrote-headers", G_CALLBACK(wroteChunk), this);
    g_signal_connect(message, "finished", G_CALLBACK(finished), this);
    // A paused answer does not read its connection, so a hang-up is looked for here.
    watchHangUp();
}

HttpExchange::~HttpExchange()
{
    stopWatching();
    if (message_)
        g_signal_handlers_disconnect_by_data(message_.get(), this);
}

auto HttpExchange::watchHangUp() -> void
{
    auto* socket = soup_server_message_get_socket(message_.get());
    if (!socket)
        return;
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    watch(static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR));
}

auto HttpExchange::watch(GIOCondition condition) -> void
{
    stopWatching();
    watch_ = g_socket_create_source(soup_server_message_get_socket(message_.get()), condition, nullptr);
    g_source_set_callback(watch_, G_SOURCE_FUNC(+readable), this, nullptr);
    g_source_attach(watch_, nullptr);
}

auto HttpExchange::stopWatching() -> void
{
    if (!watch_)
        return;
    g_source_destroy(watch_);
    g_source_unref(watch_);
    watch_ = nullptr;
}

auto HttpExchange::readable(GSocket* socket, GIOCondition condition, gpointer self) -> gboolean
{
    auto held = static_cast<HttpExchange*>(self)->shared_from_this();
    auto byte = char();
    const auto size = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0 && !(condition & (G_IO_HUP | G_IO_ERR))) {
        // The caller's next request is there already; it is left for libsoup, and only a reset is watched for.
        held->watch(static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR));
        return G_SOURCE_REMOVE;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR))
        return G_SOURCE_CONTINUE;
    held->abort();
    return G_SOURCE_REMOVE;
}

auto HttpExchange::query(const char* name) const -> std::string
{
    auto* fields = soup_form_decode(query_.c_str());
    const auto* value = static_cast<const char*>(g_hash_table_lookup(fields, name));
    auto text = std::string(value ? value : "");
    g_hash_table_unref(fields);
    return text;
}

auto HttpExchange::header(const char* name) const -> std::string
{
    if (!message_)
        return {};
    auto* headers = soup_server_message_get_request_headers(message_.get());
    const auto* value = soup_message_headers_get_one(headers, name);
    return value ? value : "";
}

auto HttpExchange::body() const -> std::string_view { return body_; }

auto HttpExchange::setHeader(const char* name, const std::string& value) -> void
{
    if (message_)
        soup_message_headers_replace(soup_server_message_get_response_headers(message_.get()), name, value.c_str());
}

auto HttpExchange::announceClose() -> void
{
    if (*closing_)
        setHeader("Connection", "close");
}

auto HttpExchange::respond(int status, std::string_view contentType, std::string_view body) -> void
{
    if (!message_ || answered_)
        return;
    answered_ = true;
    completed_ = true;
    announceClose();
    self_ = shared_from_this();
    soup_server_message_set_status(message_.get(), static_cast<guint>(status), nullptr);
    soup_server_message_set_response(
        message_.get(), std::string(contentType).c_str(), SOUP_MEMORY_COPY, body.data(), body.size());
    soup_server_message_unpause(message_.get());
}

auto HttpExchange::begin(int status, std::string_view contentType) -> void
{
    if (!message_ || answered_)
        return;
    answered_ = true;
    streaming_ = true;
    announceClose();
    writing_ = true;
    self_ = shared_from_this();
    soup_server_message_set_status(message_.get(), static_cast<guint>(status), nullptr);
    auto* headers = soup_server_message_get_response_headers(message_.get());
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", std::string(contentType).c_str());
    soup_message_headers_replace(headers, "Cache-Control", "no-store");
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message_.get()), FALSE);
    soup_server_message_unpause(message_.get());
}

auto HttpExchange::send(std::string_view piece) -> void
{
    if (!message_ || completed_ || piece.empty())
        return;
    pending_ += piece;
    backlog_ += piece.size();
    flush();
}

auto HttpExchange::flush() -> void
{
    // One chunk is in libsoup's hands at a time; what comes meanwhile is gathered into the next.
    if (writing_ || !message_ || !streaming_)
        return;
    auto* body = soup_server_message_get_response_body(message_.get());
    if (!pending_.empty()) {
        auto* owned = new std::string(std::move(pending_));
        pending_.clear();
        auto* bytes = g_bytes_new_with_free_func(
            owned->data(), owned->size(), [](gpointer text) { delete static_cast<std::string*>(text); }, owned);
        soup_message_body_append_bytes(body, bytes);
        g_bytes_unref(bytes);
    } else if (completed_) {
        streaming_ = false;
        soup_message_body_complete(body);
    } else {
        return;
    }
    writing_ = true;
    soup_server_message_unpause(message_.get());
}

auto HttpExchange::finish() -> void
{
    if (completed_)
        return;
    completed_ = true;
    flush();
}

auto HttpExchange::abort() -> void
{
    if (!message_)
        return;
    // The connection goes first, so that what libsoup still writes cannot look like a whole answer.
    auto* socket = soup_server_message_get_socket(message_.get());
    if (socket)
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    auto* message = SOUP_SERVER_MESSAGE(g_object_ref(message_.get()));
    if (answered_)
        soup_message_body_complete(soup_server_message_get_response_body(message));
    else
        soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    end(false);
    // libsoup keeps a paused message for ever; resumed, it finds the connection closed and lets go.
    soup_server_message_unpause(message);
    g_object_unref(message);
}

auto HttpExchange::wroteChunk(SoupServerMessage*, gpointer self) -> void
{
    auto held = static_cast<HttpExchange*>(self)->shared_from_this();
    held->writing_ = false;
    const auto drained = held->backlog_ > held->pending_.size();
    held->backlog_ = held->pending_.size();
    held->flush();
    if (drained && held->onDrained_)
        held->onDrained_();
}

auto HttpExchange::finished(SoupServerMessage*, gpointer self) -> void
{
    auto held = static_cast<HttpExchange*>(self)->shared_from_this();
    held->end(held->completed_ && held->pending_.empty());
}

auto HttpExchange::end(bool whole) -> void
{
    if (!message_)
        return;
    stopWatching();
    g_signal_handlers_disconnect_by_data(message_.get(), this);
    message_.reset();
    onDrained_ = {};
    auto over = std::exchange(onOver_, {});
    auto held = std::exchange(self_, {});
    if (over)
        over(whole);
}

HttpServer::HttpServer(const std::string& address, std::uint16_t port, std::size_t bodyLimit, Handler handler,
    std::chrono::seconds silence)
    : server_(soup_server_new("server-header", nullptr, nullptr))
    , bodyLimit_(bodyLimit)
    , handler_(std::move(handler))
    , silence_(silence)
{
    g_signal_connect(server_.get(), "request-started", G_CALLBACK(started), this);
    soup_server_add_handler(server_.get(), nullptr, handle, this, nullptr);
    auto local = ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(address.c_str(), port));
    auto* error = static_cast<GError*>(nullptr);
    if (!local || !soup_server_listen(server_.get(), local.get(), static_cast<SoupServerListenOptions>(0), &error)) {
        auto reason = std::string(error ? error->message : "not an IP address");
        g_clear_error(&error);
        throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port) + ": " + reason);
    }
    auto* uris = soup_server_get_uris(server_.get());
    port_ = static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
}

HttpServer::~HttpServer() { close(); }

auto HttpServer::close() -> void
{
    auto* listeners = soup_server_get_listeners(server_.get());
    for (auto* item = listeners; item; item = item->next)
        g_socket_close(G_SOCKET(item->data), nullptr);
    g_slist_free(listeners);
}

auto HttpServer::stopListening() -> bool
{
    auto* listeners = soup_server_get_listeners(server_.get());
    auto closed = true;
    for (auto* item = listeners; item; item = item->next)
        closed = closeIfDrained(G_SOCKET(item->data)) && closed;
    g_slist_free(listeners);
    return closed;
}

auto HttpServer::started(SoupServer*, SoupServerMessage* message, gpointer self) -> void
{
    static_cast<HttpServer*>(self)->requests_.add(message);
    const auto silence = static_cast<HttpServer*>(self)->silence_;
    if (auto* socket = soup_server_message_get_socket(message); socket && silence.count() > 0)
        g_socket_set_timeout(socket, static_cast<guint>(silence.count()));
    g_signal_connect(message, "got-headers", G_CALLBACK(gotHeaders), self);
    g_signal_connect(message, "got-chunk", G_CALLBACK(gotChunk), self);
}

auto HttpServer::gotHeaders(SoupServerMessage* message, gpointer self) -> void
{
    auto* headers = soup_server_message_get_request_headers(message);
    if (hasAmbiguousLength(headers))
        return refuseEarly(message, ambiguous);
    const auto length = soup_message_headers_get_content_length(headers);
    if (length > static_cast<goffset>(static_cast<HttpServer*>(self)->bodyLimit_))
        refuseEarly(message, tooLarge);
}

auto HttpServer::gotChunk(SoupServerMessage* message, GBytes* chunk, gpointer self) -> void
{
    auto so = GPOINTER_TO_SIZE(g_object_get_data(G_OBJECT(message), gatheredKey)) + g_bytes_get_size(chunk);
    g_object_set_data(G_OBJECT(message), gatheredKey, GSIZE_TO_POINTER(so));
    if (!refusedEarly(message) && so > static_cast<HttpServer*>(self)->bodyLimit_)
        refuseEarly(message, tooLarge);
}

auto HttpServer::handle(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self) -> void
{
    if (refusedEarly(message))
        return;
    soup_server_message_pause(message);
    auto& server = *static_cast<HttpServer*>(self);
    server.handler_(std::make_shared<HttpExchange>(message, server.closing_));
}

} // namespace eelgrass::wire
