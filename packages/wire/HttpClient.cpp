#include "wire/HttpClient.h"

#include <kj/debug.h>

namespace eelgrass::wire {

namespace {

// An answer that is not streamed is held in memory: no peer of the system has cause to send more.
constexpr auto wholeAnswerLimit = std::size_t(64) << 20U;
constexpr auto readSize = std::size_t(16384);
constexpr auto unreachedMark = "not reached: ";

auto brokenBy(const std::string& peer, GError* raw) -> kj::Exception
{
    auto error = std::unique_ptr<GError, decltype(&g_error_free)>(raw, g_error_free);
    const auto* mark = g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ? unreachedMark : "";
    return { kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::str(mark, peer.c_str(), ": ", error->message) };
}

// Path and query may hold what a caller asked for, and errors go into logs: the peer is named by its address alone.
auto peerOf(const std::string& url) -> std::string
{
    const auto scheme = url.find("://");
    return url.substr(0, scheme == std::string::npos ? scheme : url.find('/', scheme + 3));
}

struct PendingOpen {
    kj::Own<kj::PromiseFulfiller<kj::Own<HttpStream>>> fulfiller;
    ObjectPtr<SoupMessage> message;
    std::string peer;
};

auto opened(GObject* source, GAsyncResult* result, gpointer data) -> void
{
    auto pending = std::unique_ptr<PendingOpen>(static_cast<PendingOpen*>(data));
    auto* raw = static_cast<GError*>(nullptr);
    auto input = ObjectPtr<GInputStream>(soup_session_send_finish(SOUP_SESSION(source), result, &raw));
    if (!input) {
        pending->fulfiller->reject(brokenBy(pending->peer, raw));
        return;
    }
    pending->fulfiller->fulfill(
        kj::heap<HttpStream>(std::move(pending->message), std::move(input), std::move(pending->peer)));
}

struct PendingRead {
    kj::Own<kj::PromiseFulfiller<std::string>> fulfiller;
    std::string peer;
};

auto readDone(GObject* source, GAsyncResult* result, gpointer data) -> void
{
    auto pending = std::unique_ptr<PendingRead>(static_cast<PendingRead*>(data));
    auto* raw = static_cast<GError*>(nullptr);
    auto* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &raw);
    if (!bytes) {
        pending->fulfiller->reject(brokenBy(pending->peer, raw));
        return;
    }
    auto size = gsize(0);
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    pending->fulfiller->fulfill(std::string(text ? text : "", size));
    g_bytes_unref(bytes);
}

} // namespace

auto neverReached(const kj::Exception& failure) -> bool { return failure.getDescription().startsWith(unreachedMark); }

HttpStream::HttpStream(ObjectPtr<SoupMessage> message, ObjectPtr<GInputStream> input, std::string peer)
    : message_(std::move(message))
    , input_(std::move(input))
    , cancellable_(g_cancellable_new())
    , peer_(std::move(peer))
{
}

HttpStream::~HttpStream()
{
    g_cancellable_cancel(cancellable_.get());
    if (!g_input_stream_is_closed(input_.get()))
        g_input_stream_close_async(input_.get(), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
}

auto HttpStream::status() const noexcept -> int { return static_cast<int>(soup_message_get_status(message_.get())); }

auto HttpStream::header(const char* name) const -> std::string
{
    const auto* value = soup_message_headers_get_one(soup_message_get_response_headers(message_.get()), name);
    return value ? value : "";
}

auto HttpStream::read() -> kj::Promise<std::string>
{
    auto pair = kj::newPromiseAndFulfiller<std::string>();
    auto pending = std::make_unique<PendingRead>(PendingRead { kj::mv(pair.fulfiller), peer_ });
    g_input_stream_read_bytes_async(
        input_.get(), readSize, G_PRIORITY_DEFAULT, cancellable_.get(), readDone, pending.release());
    return kj::mv(pair.promise);
}

auto HttpStream::gather(std::string so, std::size_t limit) -> kj::Promise<std::string>
{
    return read().then([this, so = std::move(so), limit](std::string piece) mutable -> kj::Promise<std::string> {
        if (piece.empty())
            return std::move(so);
        KJ_REQUIRE(so.size() + piece.size() <= limit, "the answer is too large", peer_.c_str());
        so += piece;
        return gather(std::move(so), limit);
    });
}

auto HttpStream::readAll(std::size_t limit) -> kj::Promise<std::string> { return gather({}, limit); }

// Peers are named by IP number and stand on the same network. The system's proxy settings are not asked: GLib would
// look them up in a thread and in files, once for each connection.
HttpClient::HttpClient(unsigned connections, unsigned timeout)
    : session_(soup_session_new_with_options("max-conns", static_cast<int>(connections), "max-conns-per-host",
        static_cast<int>(connections), "timeout", timeout, "idle-timeout", 60U, "proxy-resolver", nullptr, nullptr))
{
}

auto HttpClient::open(HttpRequest request) -> kj::Promise<kj::Own<HttpStream>>
{
    auto message = ObjectPtr<SoupMessage>(soup_message_new(request.method.c_str(), request.url.c_str()));
    KJ_REQUIRE(message != nullptr, "not a URL", request.url.c_str());
    auto* headers = soup_message_get_request_headers(message.get());
    for (const auto& [name, value] : request.headers)
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    if (request.once)
        soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    if (!request.body.empty()) {
        auto* bytes = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(message.get(), request.contentType.c_str(), bytes);
        g_bytes_unref(bytes);
    }
    auto pair = kj::newPromiseAndFulfiller<kj::Own<HttpStream>>();
    auto cancellable = ObjectPtr<GCancellable>(g_cancellable_new());
    auto* raw = message.get();
    auto pending = std::make_unique<PendingOpen>(
        PendingOpen { kj::mv(pair.fulfiller), std::move(message), peerOf(request.url) });
    soup_session_send_async(session_.get(), raw, G_PRIORITY_DEFAULT, cancellable.get(), opened, pending.release());
    return pair.promise.attach(kj::defer([held = std::move(cancellable)] { g_cancellable_cancel(held.get()); }));
}

auto HttpClient::fetch(HttpRequest request) -> kj::Promise<HttpResponse>
{
    return open(std::move(request)).then([](kj::Own<HttpStream> stream) {
        auto& open = *stream;
        return open.readAll(wholeAnswerLimit).then([stream = kj::mv(stream)](std::string body) {
            return HttpResponse { stream->status(), stream->header("Content-Type"), std::move(body),
                stream->header("ETag") };
        });
    });
}

} // namespace eelgrass::wire
