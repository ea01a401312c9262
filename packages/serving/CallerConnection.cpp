#include "serving/CallerConnection.h"

#include "serving/CallerExchange.h"

#include <array>
#include <charconv>

namespace eelgrass::serving {

namespace {

// After the last answer the client's remaining bytes are read and dropped for this long: a close with unread bytes
// resets the connection, and the answer would be lost on its way.
constexpr auto lingerTime = Duration(1s);
// What a client may send ahead of its turn before it is no longer read.
constexpr auto readAhead = std::size_t(256) << 10U;

constexpr auto badRequest = 400;
constexpr auto requestTimeout = 408;
constexpr auto contentTooLarge = 413;
constexpr auto headerTooLarge = 431;

} // namespace

CallerConnection::CallerConnection(
    TimerService& timers, wire::ObjectPtr<GSocket> socket, const CallerLimits& limits, Hooks hooks)
    : timers_(timers)
    , connection_(std::move(socket))
    , limits_(limits)
    , reader_(limits.http)
    , hooks_(std::move(hooks))
{
}

auto CallerConnection::start() -> void
{
    const auto self = shared_from_this();
    connection_.setHandlers({ .onData = [this] { received(); },
        .onEnd = [this](wire::StreamEnd) { ended(); },
        .onDrained =
            [this] {
                if (const auto callback = watcher_.onDrained)
                    callback();
            } });
    armIdle();
    connection_.start();
}

auto CallerConnection::setLimits(const CallerLimits& limits) -> void
{
    limits_ = limits;
    reader_.setLimits(limits.http);
}

auto CallerConnection::armIdle() -> void
{
    timer_ = timers_.after(limits_.idleTime, [this] { close(); });
}

auto CallerConnection::received() -> void
{
    const auto self = shared_from_this();
    if (lingering_) {
        connection_.input().clear();
        return;
    }
    if (serving_) {
        if (connection_.input().size() > readAhead)
            connection_.pauseReading();
        return;
    }
    if (!reading_ && !connection_.input().empty()) {
        reading_ = true;
        requestBegan_ = timers_.now();
        timer_ = timers_.after(limits_.headerTime, [this] { reject(requestTimeout); });
    }
    const auto fault = reader_.feed(connection_.input());
    if (fault != wire::HttpFault::None)
        return refuse(fault);
    if (reader_.expectsContinue() && !std::exchange(continued_, true))
        connection_.write("HTTP/1.1 100 Continue\r\n\r\n");
    // A body may take as long as an idle connection may stay, counted from its last byte.
    if (reader_.headComplete() && !reader_.complete())
        armIdle();
    if (!reader_.complete())
        return;
    timer_.cancel();
    serving_ = true;
    reading_ = false;
    continued_ = false;
    auto request = reader_.take();
    keepAlive_ = request.keepAlive;
    exchange_ = ++exchanges_;
    hooks_.onRequest(std::make_shared<CallerExchange>(self, exchange_), std::move(request));
}

auto CallerConnection::refuse(wire::HttpFault fault) -> void
{
    switch (fault) {
    case wire::HttpFault::HeaderTooLarge:
        return reject(headerTooLarge);
    case wire::HttpFault::BodyTooLarge:
        return reject(contentTooLarge);
    default:
        return reject(badRequest);
    }
}

auto CallerConnection::reject(int status) -> void
{
    // What follows on this connection cannot be told apart from the refused request.
    keepAlive_ = false;
    serving_ = true;
    respond({ .status = status }, {});
}

auto CallerConnection::addFraming(wire::HttpResponseHead& head) -> void
{
    if (!keepAlive_ || closing_) {
        keepAlive_ = false;
        head.fields.set("Connection", "close");
    }
}

auto CallerConnection::respond(wire::HttpResponseHead head, std::string_view body) -> void
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    addFraming(head);
    head.fields.set("Content-Length", std::to_string(body.size()));
    auto text = wire::responseHeadText(head);
    connection_.write(text.append(body));
    answered();
}

auto CallerConnection::begin(wire::HttpResponseHead head) -> void
{
    if (closed_)
        return;
    addFraming(head);
    head.fields.set("Transfer-Encoding", "chunked");
    connection_.write(wire::responseHeadText(head));
}

auto CallerConnection::writeChunk(std::string_view bytes) -> void
{
    if (closed_ || bytes.empty())
        return;
    constexpr auto hexBase = 16;
    auto size = std::array<char, 20>();
    const auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexBase);
    auto text = std::string(size.data(), end);
    connection_.write(text.append("\r\n").append(bytes).append("\r\n"));
}

auto CallerConnection::finish() -> void
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    connection_.write("0\r\n\r\n");
    answered();
}

auto CallerConnection::abort() -> void
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    connection_.reset();
    watcher_ = {};
    close();
}

auto CallerConnection::noteMisuse() -> void
{
    if (hooks_.onMisuse)
        hooks_.onMisuse();
}

auto CallerConnection::answered() -> void
{
    watcher_ = {};
    exchange_ = 0;
    serving_ = false;
    // A stop may have come after the head promised to keep the connection; a request that the client sends on it now
    // has not been read, and the client knows that by the close.
    if (!keepAlive_ || closing_)
        return linger();
    armIdle();
    connection_.resumeReading();
    if (!closed_ && !connection_.input().empty())
        received();
}

auto CallerConnection::linger() -> void
{
    lingering_ = true;
    connection_.input().clear();
    connection_.finishWriting();
    connection_.resumeReading();
    timer_ = timers_.after(lingerTime, [this] { close(); });
}

auto CallerConnection::closeSoon() -> void { closing_ = true; }

auto CallerConnection::closeIfIdle() -> void
{
    if (!serving_ && !reading_ && !lingering_ && connection_.input().empty())
        linger();
}

auto CallerConnection::ended() -> void
{
    const auto self = shared_from_this();
    const auto onGone = std::move(watcher_.onGone);
    watcher_ = {};
    exchange_ = 0;
    if (onGone)
        onGone();
    close();
}

auto CallerConnection::close() -> void
{
    if (std::exchange(closed_, true))
        return;
    exchange_ = 0;
    timer_.cancel();
    hooks_.onClosed(this);
}

} // namespace eelgrass::serving
