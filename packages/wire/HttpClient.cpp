#include "wire/HttpClient.h"

#include <kj/debug.h>

#include <map>
#include <vector>

namespace eelgrass::wire {

namespace {

// An answer that is not streamed is held in memory: no peer of the system has cause to send more.
constexpr auto wholeAnswerLimit = std::size_t(64) << 20U;
constexpr auto unreachedMark = "not reached: ";

struct Address {
    std::string host;
    std::uint16_t port = 80;
    std::string target;

    [[nodiscard]] auto peer() const -> std::string { return host + ":" + std::to_string(port); }
};

auto parseUrl(const std::string& url) -> Address
{
    constexpr auto scheme = std::string_view("http://");
    KJ_REQUIRE(url.starts_with(scheme), "not a URL", url.c_str());
    const auto rest = url.substr(scheme.size());
    const auto slash = rest.find('/');
    const auto authority = rest.substr(0, slash);
    const auto colon = authority.find(':');
    auto address = Address { .host = authority.substr(0, colon) };
    if (colon != std::string::npos)
        address.port = static_cast<std::uint16_t>(decimal(authority.substr(colon + 1)).value_or(0));
    address.target = slash == std::string::npos ? "/" : rest.substr(slash);
    return address;
}

/// Rejects after `silence` seconds; never for 0.
auto silenceOf(std::chrono::seconds silence, const std::string& peer) -> kj::Promise<void>
{
    struct Limit {
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
        std::string peer;
        guint source = 0;
    };
    if (silence.count() == 0)
        return kj::NEVER_DONE;
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto limit = std::make_unique<Limit>(Limit { kj::mv(pair.fulfiller), peer });
    auto expired = [](gpointer data) -> gboolean {
        auto& limit = *static_cast<Limit*>(data);
        limit.source = 0;
        limit.fulfiller->reject(KJ_EXCEPTION(DISCONNECTED, "the peer is silent", limit.peer.c_str()));
        return G_SOURCE_REMOVE;
    };
    limit->source = g_timeout_add_seconds(static_cast<guint>(silence.count()), expired, limit.get());
    return pair.promise.attach(kj::defer([held = std::move(limit)] {
        if (held->source)
            g_source_remove(held->source);
    }));
}

} // namespace

/// Idle connections by peer.
struct HttpClient::Pool {
    std::size_t most = 0;
    std::map<std::string, std::vector<kj::Own<GlibStream>>> idle;

    auto take(const std::string& peer) -> kj::Own<GlibStream>
    {
        auto& connections = idle[peer];
        if (connections.empty())
            return {};
        auto newest = kj::mv(connections.back());
        connections.pop_back();
        return newest;
    }
    auto giveBack(const std::string& peer, kj::Own<GlibStream> connection) -> void
    {
        auto& connections = idle[peer];
        if (connections.size() < most)
            connections.push_back(kj::mv(connection));
    }
};

auto neverReached(const kj::Exception& failure) -> bool { return failure.getDescription().startsWith(unreachedMark); }

HttpStream::HttpStream(kj::Own<GlibStream> connection, std::chrono::seconds silence, Keep keep)
    : connection_(kj::mv(connection))
    , silence_(silence)
    , keep_(std::move(keep))
{
}

auto HttpStream::header(const char* name) const -> std::string { return std::string(reader_.head().fields.get(name)); }

auto HttpStream::receive() -> kj::Promise<void>
{
    return connection_->tryRead(buffer_.data(), 1, buffer_.size())
        .exclusiveJoin(silenceOf(silence_, connection_->peer()).then([]() -> size_t { return 0; }))
        .then([this](size_t count) {
            heard_ = heard_ || count > 0;
            input_.append(buffer_.data(), count);
            KJ_REQUIRE(reader_.feed(input_, body_) == HttpFault::None, "not an answer", connection_->peer().c_str());
            if (count == 0)
                reader_.finish();
            if (count == 0 && !reader_.complete())
                kj::throwFatalException(KJ_EXCEPTION(
                    DISCONNECTED, "the connection ended before the answer did", connection_->peer().c_str()));
        });
}

auto HttpStream::readHead() -> kj::Promise<void>
{
    if (reader_.headComplete())
        return kj::READY_NOW;
    return receive().then([this] { return readHead(); });
}

auto HttpStream::read() -> kj::Promise<std::string>
{
    if (!body_.empty())
        return std::exchange(body_, {});
    if (reader_.complete()) {
        giveBack();
        return std::string();
    }
    return receive().then([this] { return read(); });
}

auto HttpStream::giveBack() -> void
{
    if (connection_ && reader_.keepAlive() && input_.empty())
        keep_(kj::mv(connection_));
}

auto HttpStream::gather(std::string so, std::size_t limit) -> kj::Promise<std::string>
{
    return read().then([this, so = std::move(so), limit](std::string piece) mutable -> kj::Promise<std::string> {
        if (piece.empty())
            return std::move(so);
        KJ_REQUIRE(so.size() + piece.size() <= limit, "the answer is too large");
        so += piece;
        return gather(std::move(so), limit);
    });
}

auto HttpStream::readAll(std::size_t limit) -> kj::Promise<std::string> { return gather({}, limit); }

HttpClient::HttpClient(unsigned connections, unsigned timeout)
    : silence_(timeout)
    , pool_(std::make_shared<Pool>(Pool { connections, {} }))
{
}

auto HttpClient::openOn(kj::Own<GlibStream> connection, const HttpRequest& request) -> kj::Promise<kj::Own<HttpStream>>
{
    const auto address = parseUrl(request.url);
    auto fields = HeaderFields();
    fields.add("Host", address.peer());
    for (const auto& [name, value] : request.headers)
        fields.set(name, value);
    if (!request.body.empty())
        fields.set("Content-Type", request.contentType);
    auto text = std::make_shared<std::string>(
        requestHeadText(request.method, address.target, fields, request.body.size()) + request.body);
    auto keep = [pool = std::weak_ptr<Pool>(pool_), peer = address.peer()](kj::Own<GlibStream> kept) {
        if (const auto held = pool.lock())
            held->giveBack(peer, kj::mv(kept));
    };
    auto& socket = *connection;
    auto stream = kj::heap<HttpStream>(kj::mv(connection), silence_, std::move(keep));
    auto& open = *stream;
    // An answer may come, and the connection end, before all of the request is out: what the answer says goes first.
    auto written = socket.write(text->data(), text->size()).attach(kj::cp(text)).catch_([](kj::Exception&&) {});
    return written.then([&open] { return open.readHead(); }).then([held = kj::mv(stream)]() mutable {
        return kj::mv(held);
    });
}

auto HttpClient::openFresh(HttpRequest request) -> kj::Promise<kj::Own<HttpStream>>
{
    const auto address = parseUrl(request.url);
    return connectTo(address.host, address.port)
        .then([this, request](kj::Own<GlibStream> connection) { return openOn(kj::mv(connection), request); },
            [](kj::Exception&& error) -> kj::Promise<kj::Own<HttpStream>> {
                return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                    kj::str(unreachedMark, error.getDescription()));
            });
}

auto HttpClient::open(HttpRequest request) -> kj::Promise<kj::Own<HttpStream>>
{
    const auto mayRepeat = request.method == "GET" && !request.once;
    auto kept = mayRepeat ? pool_->take(parseUrl(request.url).peer()) : kj::Own<GlibStream>();
    if (!kept)
        return openFresh(std::move(request));
    return openOn(kj::mv(kept), request).catch_([this, request](kj::Exception&&) mutable {
        return openFresh(std::move(request));
    });
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
