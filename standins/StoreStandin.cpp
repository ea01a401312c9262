#include "standins/StoreStandin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace eelgrass::standins {

namespace {

using Json = nlohmann::json;

auto base64(const std::string& bytes) -> std::string
{
    auto* text = g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
    auto encoded = std::string(text);
    g_free(text);
    return encoded;
}

auto plain(const std::string& encoded) -> std::string
{
    auto size = gsize(0);
    auto* bytes = g_base64_decode(encoded.c_str(), &size);
    auto text = std::string(reinterpret_cast<const char*>(bytes), size);
    g_free(bytes);
    return text;
}

auto query(const std::string& target, const std::string& name) -> std::string
{
    const auto at = target.find('?');
    if (at == std::string::npos)
        return {};
    auto* parameters = g_uri_parse_params(target.c_str() + at + 1, -1, "&", G_URI_PARAMS_NONE, nullptr);
    const auto* found = static_cast<const char*>(g_hash_table_lookup(parameters, name.c_str()));
    auto value = std::string(found ? found : "");
    g_hash_table_unref(parameters);
    return value;
}

auto number(const std::string& text) -> std::uint64_t { return wire::decimal(text).value_or(0); }

auto respond(const std::shared_ptr<serving::CallerExchange>& caller, int status, const std::string& body) -> void
{
    auto head = wire::HttpResponseHead { .status = status };
    head.fields.add("Content-Type", "application/json");
    caller->respond(std::move(head), body);
}

} // namespace

/// A socket that is bound and does not listen, so that connections are refused.
class LoopServer::PortHolder {
public:
    PortHolder(const std::string& address, std::uint16_t port)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto reuse = 1;
        auto at = sockaddr_in { .sin_family = AF_INET, .sin_port = htons(port) };
        ::inet_pton(AF_INET, address.c_str(), &at.sin_addr);
        ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        (void)::bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    }
    ~PortHolder() { ::close(socket_); }
    PortHolder(const PortHolder&) = delete;
    auto operator=(const PortHolder&) -> PortHolder& = delete;

private:
    int socket_;
};

LoopServer::LoopServer(TimerService& timers, const std::string& address, std::uint16_t port, Handler handler)
    : timers_(timers)
    , address_(address)
    , port_(port)
    , handler_(std::move(handler))
{
    open();
    port_ = listener_->port();
}

auto LoopServer::open() -> void
{
    if (listener_)
        return;
    holder_.reset();
    listener_ = std::make_unique<wire::TcpListener>(address_, port_, [this](auto socket) {
        auto handle = [this, silences = silences_](auto caller, auto request) {
            if (silences == silences_)
                handler_(caller, std::move(request));
        };
        auto connection
            = std::make_shared<serving::CallerConnection>(timers_, std::move(socket), serving::CallerLimits {},
                serving::CallerConnection::Hooks { .onRequest = std::move(handle),
                    .onClosed = [this](serving::CallerConnection* closed) { connections_.erase(closed); } });
        connections_.emplace(connection.get(), connection);
        connection->start();
    });
}

auto LoopServer::stopListening() -> void
{
    listener_.reset();
    holder_ = std::make_shared<PortHolder>(address_, port_);
}

auto LoopServer::close() -> void
{
    stopListening();
    resetAll();
}

auto LoopServer::fallSilent() -> void
{
    stopListening();
    ++silences_;
}

auto LoopServer::resetAll() -> void
{
    const auto held = connections_;
    for (const auto& [raw, connection] : held)
        connection->abort();
}

StoreStandin::StoreStandin(TimerService& timers)
    : timers_(timers)
    , server_(timers, "127.0.0.1", 0,
          [this](const Caller& caller, wire::HttpRequestMessage request) { handle(caller, request); })
{
}

auto StoreStandin::put(const std::string& table, const std::string& key, const std::string& value) -> void
{
    tables_[table][key] = { value, ++version_ };
    answerPolls();
}

auto StoreStandin::remove(const std::string& table, const std::string& key) -> void
{
    tables_[table][key] = { {}, ++version_, true };
    answerPolls();
}

auto StoreStandin::value(const std::string& table, const std::string& key) const -> std::string
{
    const auto found = tables_.find(table);
    if (found == tables_.end() || !found->second.contains(key))
        return {};
    return found->second.at(key).value;
}

auto StoreStandin::suspendAsker(int pid, Duration time, std::uint64_t polls) -> void
{
    suspension_ = { .pid = pid, .time = time, .pollsLeft = polls };
}

auto StoreStandin::suspendIfAsked() -> void
{
    if (suspension_.pollsLeft == 0)
        return;
    --suspension_.pollsLeft;
    const auto pid = suspension_.pid;
    ::kill(pid, SIGSTOP);
    suspension_.end = timers_.after(suspension_.time, [pid] { ::kill(pid, SIGCONT); });
}

auto StoreStandin::refuseAll(int status) -> void
{
    refuseWith(status);
    if (status == 0)
        return;
    const auto waiting = std::exchange(polls_, {});
    for (const auto& poll : waiting) {
        if (poll->caller->open())
            respond(poll->caller, status, "{}");
    }
}

auto StoreStandin::handle(const Caller& caller, const wire::HttpRequestMessage& request) -> void
{
    const auto path = request.path();
    if (path.starts_with("/standin/"))
        return control(caller, request);
    if (refusal_ != 0)
        return respond(caller, refusal_, "{}");
    const auto& target = request.target;
    if (path == "/rows-get")
        return read(caller, query(target, "table"),
            { query(target, "from"), query(target, "to"), number(query(target, "limit")) });
    if (path == "/rows-feed") {
        suspendIfAsked();
        return follow(caller, query(target, "table"), number(query(target, "after")),
            std::chrono::milliseconds(number(query(target, "waitMs"))));
    }
    if (path == "/rows-tx")
        return transact(caller, request.body);
    respond(caller, 404, "{}");
}

auto StoreStandin::answer(const Caller& caller, int status, nlohmann::json body) -> void
{
    body["ver"] = version_;
    auto send = [this, caller, status, body = std::move(body)]() mutable {
        const auto time = std::chrono::duration<double, std::milli>(timers_.now().time_since_epoch() + clockShift_);
        body["nowMs"] = time.count();
        if (caller->open())
            respond(caller, status, body.dump());
    };
    if (answerDelay_ == Duration(0))
        return send();
    const auto at = delayedAnswers_.emplace(delayedAnswers_.end());
    *at = timers_.after(answerDelay_, [this, at, send = std::move(send)]() mutable {
        send();
        delayedAnswers_.erase(at);
    });
}

auto StoreStandin::control(const Caller& caller, const wire::HttpRequestMessage& request) -> void
{
    const auto path = request.path();
    const auto& target = request.target;
    const auto milliseconds = [&] { return Duration(std::chrono::milliseconds(number(query(target, "ms")))); };
    if (path == "/standin/put")
        put(query(target, "table"), query(target, "key"), request.body);
    else if (path == "/standin/remove")
        remove(query(target, "table"), query(target, "key"));
    else if (path == "/standin/refuse")
        refuseAll(static_cast<int>(number(query(target, "status"))));
    else if (path == "/standin/forget")
        forgetHistory();
    else if (path == "/standin/lose-write")
        loseNextWrite();
    else if (path == "/standin/suspend-asker")
        suspendAsker(static_cast<int>(number(query(target, "pid"))), milliseconds(), number(query(target, "polls")));
    else if (path == "/standin/shift-clock")
        shiftClock(milliseconds());
    else if (path == "/standin/slow")
        answerAfter(milliseconds());
    else if (path != "/standin/settle")
        return respond(caller, 404, "{}");
    respond(caller, 200, "{}");
}

auto StoreStandin::readCount(const std::string& table) const -> std::uint64_t
{
    const auto found = readCounts_.find(table);
    return found == readCounts_.end() ? 0 : found->second;
}

auto StoreStandin::read(const Caller& caller, const std::string& table, const Range& range) -> void
{
    ++readCounts_[table];
    auto rows = Json::array();
    auto truncated = false;
    for (const auto& [key, row] : tables_[table]) {
        if (row.deleted || key < range.from || (!range.to.empty() && key >= range.to))
            continue;
        truncated = range.limit > 0 && rows.size() == range.limit;
        if (truncated)
            break;
        rows.push_back({ { "table", table }, { "part", "" }, { "key", key }, { "value", base64(row.value) },
            { "ver", row.version } });
    }
    answer(caller, 200, { { "rows", rows }, { "truncated", truncated } });
}

auto StoreStandin::changes(const std::string& table, std::uint64_t after) const -> nlohmann::json
{
    auto rows = Json::array();
    const auto found = tables_.find(table);
    if (found != tables_.end()) {
        for (const auto& [key, row] : found->second) {
            if (row.version > after)
                rows.push_back({ { "table", table }, { "part", "" }, { "key", key }, { "value", base64(row.value) },
                    { "ver", row.version }, { "tombstone", row.deleted } });
        }
    }
    return rows.empty() ? Json() : Json { { "rows", rows } };
}

auto StoreStandin::follow(const Caller& caller, const std::string& table, std::uint64_t after, Duration wait) -> void
{
    ++pollCount_;
    if (after < forgotten_)
        return respond(caller, 410, "{}");
    if (auto now = changes(table, after); !now.is_null())
        return answer(caller, 200, std::move(now));
    auto poll = std::make_unique<Poll>(Poll { caller, table, after, {} });
    auto* raw = poll.get();
    poll->timer = timers_.after(wait, [this, raw] {
        answer(raw->caller, 200, { { "rows", Json::array() } });
        std::erase_if(polls_, [&](const auto& poll) { return poll.get() == raw; });
    });
    polls_.push_back(std::move(poll));
}

auto StoreStandin::answerPolls() -> void
{
    auto waiting = std::exchange(polls_, {});
    for (auto& poll : waiting) {
        auto changed = changes(poll->table, poll->after);
        if (changed.is_null())
            polls_.push_back(std::move(poll));
        else
            answer(poll->caller, 200, std::move(changed));
    }
}

auto StoreStandin::transact(const Caller& caller, const std::string& body) -> void
{
    const auto json = Json::parse(body);
    auto holds = true;
    auto rows = Json::array();
    for (const auto& condition : json.at("precondition")) {
        const auto table = condition.at("table").get<std::string>();
        const auto key = condition.at("key").get<std::string>();
        const auto& present = tables_[table][key];
        holds = holds && present.version == condition.value("ver", std::uint64_t(0));
        if (present.version != 0)
            rows.push_back({ { "table", table }, { "part", "" }, { "key", key }, { "value", base64(present.value) },
                { "ver", present.version } });
    }
    if (!holds)
        return answer(caller, 412, { { "rows", rows } });
    ++version_;
    for (const auto& row : json.at("setKeys"))
        tables_[row.at("table").get<std::string>()][row.at("key").get<std::string>()]
            = { plain(row.at("value").get<std::string>()), version_ };
    if (std::exchange(loseWrite_, false))
        return caller->abort();
    answer(caller, 200, Json::object());
    answerPolls();
}

} // namespace eelgrass::standins
