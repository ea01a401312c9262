#include "serving/CallerConnection.h"

#include "base/DurationText.h"
#include "base/Log.h"
#include "serving/CallerExchange.h"

#include <array>
#include <charconv>

namespace eelgrass::serving {

namespace {

// How long the client's remaining bytes are read and discarded after the last answer. Closing with unread bytes resets
// the connection, and the client could lose the answer.
constexpr auto lingerTime = Duration(1s);
// How long a new connection is given to bring its first request before it counts as idle.
constexpr auto firstRequestTime = Duration(500ms);
// Bytes of pipelined requests buffered while a request is served; beyond that, reading pauses.
constexpr auto maxReadAhead = std::size_t(256) << 10U;

constexpr auto badRequest = 400;
constexpr auto requestTimeout = 408;
constexpr auto contentTooLarge = 413;
constexpr auto headerTooLarge = 431;
constexpr auto unavailable = 503;

} // namespace

auto toString(CallerStage stage) noexcept -> std::string_view
{
    switch (stage) {
    case CallerStage::Idle:
        return "idle";
    case CallerStage::HalfRead:
        return "half_read";
    case CallerStage::Waiting:
        return "waiting";
    case CallerStage::Searching:
        return "searching";
    case CallerStage::AtWork:
        return "at_work";
    case CallerStage::Silent:
        return "silent";
    case CallerStage::Ending:
        break;
    }
    return "ending";
}

CallerConnection::CallerConnection(
    TimerService& timers, wire::ObjectPtr<GSocket> socket, const CallerLimits& limits, Hooks hooks)
    : timers_(timers)
    , connection_(std::move(socket))
    , limits_(limits)
    , reader_(limits.http)
    , hooks_(std::move(hooks))
    , openedAt_(timers.now())
{
}

auto CallerConnection::start() -> void
{
    const auto self = shared_from_this();
    connection_.setHandlers({ .onData = [this] { received(); },
        .onEnd = [this](wire::StreamEnd) { ended(); },
        .onDrained = [this] { drained(); } });
    armLimit(&CallerLimits::idleTime);
    connection_.start();
}

auto CallerConnection::setLimits(const CallerLimits& limits) -> void
{
    limits_ = limits;
    reader_.setLimits(limits.http);
    // A lower limit applies from the next request on: the client may not have heard of it yet.
    if (lingering_ || !timer_.active() || limits_.*timeLimit_ <= timeAllowed_)
        return;
    timeAllowed_ = limits_.*timeLimit_;
    scheduleLimit();
}

auto CallerConnection::armLimit(TimeLimit limit) -> void
{
    timeLimit_ = limit;
    timeAllowed_ = limits_.*limit;
    limitBegan_ = timers_.now();
    scheduleLimit();
}

auto CallerConnection::scheduleLimit() -> void
{
    timer_ = timers_.after(limitBegan_ + timeAllowed_ - timers_.now(), [this] { onLimit(); });
}

auto CallerConnection::onLimit() -> void
{
    const auto self = shared_from_this();
    if (!clientIsLate())
        return;
    if (timeLimit_ == &CallerLimits::headerTime)
        reject(requestTimeout);
    else
        close("idle limit");
}

/// Called when a limit on the client's time has passed. A process that had no processor time may not have read yet what
/// came in time.
auto CallerConnection::clientIsLate() -> bool
{
    timer_.cancel();
    connection_.start();
    // What was read has started another limit, or completed a request.
    return !closed_ && !requestOpen_ && !lingering_ && !timer_.active();
}

auto CallerConnection::drained() -> void
{
    const auto self = shared_from_this();
    if (const auto callback = watcher_.onDrained)
        return callback();
    if (lingering_)
        armLinger();
    else if (!requestOpen_ && !reading_)
        armLimit(&CallerLimits::idleTime);
}

/// Requests that are answered at once are read in a loop: a client may send thousands of them together, and one call
/// within the other would exhaust the stack.
auto CallerConnection::received() -> void
{
    const auto self = shared_from_this();
    if (lingering_) {
        connection_.input().clear();
        return;
    }
    if (requestOpen_) {
        if (connection_.input().size() > maxReadAhead)
            connection_.pauseReading();
        return;
    }
    if (std::exchange(inReceived_, true))
        return;
    do {
        readRequest();
    } while (!closed_ && !requestOpen_ && !reading_ && !lingering_ && !connection_.input().empty());
    inReceived_ = false;
}

auto CallerConnection::readRequest() -> void
{
    if (!reading_ && !connection_.input().empty()) {
        reading_ = true;
        requestBegan_ = timers_.now();
        armLimit(&CallerLimits::headerTime);
    }
    const auto fault = reader_.feed(connection_.input());
    if (fault != wire::HttpFault::None)
        return refuse(fault);
    if (reader_.expectsContinue() && !std::exchange(continueSent_, true))
        connection_.write("HTTP/1.1 100 Continue\r\n\r\n");
    // The idle limit applies to the pauses within a body, counted from its last byte.
    if (reader_.headComplete() && !reader_.complete())
        armLimit(&CallerLimits::idleTime);
    if (!reader_.complete())
        return;
    timer_.cancel();
    requestOpen_ = true;
    reading_ = false;
    continueSent_ = false;
    auto request = reader_.take();
    keepAlive_ = request.keepAlive;
    currentExchange_ = ++exchangeCount_;
    hooks_.onRequest(std::make_shared<CallerExchange>(shared_from_this(), currentExchange_), std::move(request));
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
    // The end of the refused request is unknown, so the bytes that follow cannot be parsed as another request.
    keepAlive_ = false;
    requestOpen_ = true;
    respond({ .status = status }, {});
}

auto CallerConnection::noteRequestLost(std::string_view why) const -> void
{
    const auto unsent = connection_.backlog();
    if (!requestOpen_ && !reading_ && unsent == 0)
        return;
    const auto* partRead = reading_ ? "part" : "none";
    log::info("client connection ended in mid-request",
        { { "peer", peer() }, { "reason", std::string(why) }, { "requests", std::to_string(exchangeCount_) },
            { "read", requestOpen_ ? "all" : partRead }, { "unsent", std::to_string(unsent) },
            { "began_ms", requestBegan_ == Moment() ? "" : millisecondsText(timers_.now() - requestBegan_) },
            { "idle_limit_ms", millisecondsText(limits_.idleTime) },
            { "header_limit_ms", millisecondsText(limits_.headerTime) } });
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
    onAnswered();
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
    onAnswered();
}

auto CallerConnection::abort() -> void
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    connection_.reset();
    watcher_ = {};
    close("aborted");
}

auto CallerConnection::noteMisuse() -> void
{
    if (hooks_.onMisuse)
        hooks_.onMisuse();
}

auto CallerConnection::onAnswered() -> void
{
    watcher_ = {};
    currentExchange_ = 0;
    requestOpen_ = false;
    if (!keepAlive_)
        return linger();
    // A client that takes its answer slowly is not idle: the limit counts from the end of the answer.
    if (connection_.backlog() == 0)
        armLimit(&CallerLimits::idleTime);
    connection_.resumeReading();
    if (!closed_ && !connection_.input().empty())
        received();
    // A stop may have begun after the head announced that the connection stays open. A request that the client has sent
    // by now is served.
    if (closing_)
        closeIfIdle();
}

auto CallerConnection::linger() -> void
{
    lingering_ = true;
    timer_.cancel();
    connection_.input().clear();
    connection_.finishWriting();
    connection_.resumeReading();
    if (connection_.backlog() == 0)
        armLinger();
}

auto CallerConnection::armLinger() -> void
{
    timer_ = timers_.after(lingerTime, [this] { close("closed after its last answer"); });
}

auto CallerConnection::closeSoon() -> void
{
    const auto self = shared_from_this();
    closing_ = true;
    if (const auto callback = watcher_.onStop)
        callback();
}

auto CallerConnection::closeIfIdle() -> void
{
    const auto self = shared_from_this();
    // A request may have arrived since this connection was last read.
    if (!closed_ && !requestOpen_ && !lingering_)
        connection_.start();
    const auto isNew = exchangeCount_ == 0 && timers_.now() - openedAt_ < firstRequestTime;
    if (!closed_ && !isNew && !requestOpen_ && !reading_ && !lingering_ && connection_.input().empty())
        linger();
}

auto CallerConnection::endRequest() -> void
{
    const auto self = shared_from_this();
    // The rest of a request may have arrived since this connection was last read.
    if (!closed_ && !requestOpen_ && !lingering_)
        connection_.start();
    if (const auto callback = watcher_.onStopEnds)
        callback();
    else if (!closed_ && reading_ && !lingering_)
        reject(unavailable);
}

auto CallerConnection::cutOff() -> void { noteRequestLost("the entry ends"); }

auto CallerConnection::stage() const -> CallerStage
{
    if (requestOpen_)
        return watcher_.stage ? watcher_.stage() : CallerStage::Waiting;
    if (lingering_ || connection_.backlog() > 0)
        return CallerStage::Ending;
    return reading_ ? CallerStage::HalfRead : CallerStage::Idle;
}

auto CallerConnection::ended() -> void
{
    const auto self = shared_from_this();
    const auto onGone = std::move(watcher_.onGone);
    watcher_ = {};
    currentExchange_ = 0;
    if (onGone)
        onGone();
    close("closed by client");
}

auto CallerConnection::close(std::string_view why) -> void
{
    if (std::exchange(closed_, true))
        return;
    noteRequestLost(why);
    currentExchange_ = 0;
    timer_.cancel();
    hooks_.onClosed(this);
}

} // namespace eelgrass::serving
