#include "standins/StoreStandin.h"

#include <glib.h>
#include <nlohmann/json.hpp>

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
    listener_ = std::make_unique<wire::TcpListener>(address_, port_, [this](auto socket) {
        auto connection
            = std::make_shared<serving::CallerConnection>(timers_, std::move(socket), serving::CallerLimits {},
                serving::CallerConnection::Hooks { .onRequest = handler_,
                    .onClosed = [this](serving::CallerConnection* closed) { connections_.erase(closed); } });
        connections_.emplace(connection.get(), connection);
        connection->start();
    });
}

auto LoopServer::close() -> void
{
    listener_.reset();
    resetAll();
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

auto StoreStandin::handle(const Caller& caller, const wire::HttpRequestMessage& request) -> void
{
    if (refusal_ != 0)
        return respond(caller, refusal_, "{}");
    const auto path = request.path();
    const auto& target = request.target;
    if (path == "/rows-get")
        return read(caller, query(target, "table"),
            { query(target, "from"), query(target, "to"), number(query(target, "limit")) });
    if (path == "/rows-feed")
        return follow(caller, query(target, "table"), number(query(target, "after")),
            std::chrono::milliseconds(number(query(target, "waitMs"))));
    if (path == "/rows-tx")
        return transact(caller, request.body);
    respond(caller, 404, "{}");
}

auto StoreStandin::stamped(nlohmann::json answer) const -> std::string
{
    answer["ver"] = version_;
    answer["nowMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(timers_.now().time_since_epoch()).count();
    return answer.dump();
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
    respond(caller, 200, stamped({ { "rows", rows }, { "truncated", truncated } }));
}

auto StoreStandin::changes(const std::string& table, std::uint64_t after) const -> std::string
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
    return rows.empty() ? std::string() : stamped({ { "rows", rows } });
}

auto StoreStandin::follow(const Caller& caller, const std::string& table, std::uint64_t after, Duration wait) -> void
{
    if (after < forgotten_)
        return respond(caller, 410, "{}");
    const auto now = changes(table, after);
    if (!now.empty())
        return respond(caller, 200, now);
    auto poll = std::make_unique<Poll>(Poll { caller, table, after, {} });
    auto* raw = poll.get();
    poll->timer = timers_.after(wait, [this, raw] {
        if (const auto& waiting = raw->caller; waiting->open())
            respond(waiting, 200, stamped({ { "rows", Json::array() } }));
        std::erase_if(polls_, [&](const auto& poll) { return poll.get() == raw; });
    });
    polls_.push_back(std::move(poll));
}

auto StoreStandin::answerPolls() -> void
{
    auto waiting = std::exchange(polls_, {});
    for (auto& poll : waiting) {
        const auto changed = changes(poll->table, poll->after);
        const auto& caller = poll->caller;
        if (changed.empty())
            polls_.push_back(std::move(poll));
        else if (caller->open())
            respond(caller, 200, changed);
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
        return respond(caller, 412, stamped({ { "rows", rows } }));
    ++version_;
    for (const auto& row : json.at("setKeys"))
        tables_[row.at("table").get<std::string>()][row.at("key").get<std::string>()]
            = { plain(row.at("value").get<std::string>()), version_ };
    if (std::exchange(loseWrite_, false))
        return caller->abort();
    respond(caller, 200, stamped(Json::object()));
    answerPolls();
}

} // namespace eelgrass::standins
