#include "standins/PlatformStandin.h"

namespace eelgrass::standins {

namespace {

constexpr auto bodyLimit = std::size_t(64) << 20U;

auto rowJson(const auto& row) -> Json { return { { "version", row.version }, { "value", row.value } }; }

} // namespace

PlatformStandin::PlatformStandin(wire::MainLoop& loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , server_(options_.address, options_.port, bodyLimit, [this](auto& exchange) { handle(exchange); })
{
}

auto PlatformStandin::handle(const wire::HttpExchangePtr& exchange) -> void
{
    if (exchange->path().starts_with("/standin/"))
        return control(exchange);
    if (faults_.down)
        return answer(exchange, 503, { { "error", "the platform is down" } });
    if (faults_.slow.count() == 0)
        return route(exchange);
    loop_.spawn(loop_.sleep(faults_.slow).then([this, exchange] { route(exchange); }));
}

auto PlatformStandin::route(const wire::HttpExchangePtr& exchange) -> void
{
    if (exchange->over())
        return;
    const auto path = exchange->path();
    if (path == "/tables/transactions")
        return transact(exchange);
    if (path == "/tables/row")
        return readRow(exchange);
    if (path == "/tables/rows")
        return listRows(exchange);
    if (path == "/objects")
        return object(exchange);
    if (path == "/hosts")
        return hosts(exchange);
    if (path == "/weights/loads")
        return load(exchange);
    answer(exchange, 404, { { "error", "no such path" } });
}

auto PlatformStandin::transact(const wire::HttpExchangePtr& exchange) -> void
{
    const auto body = bodyOf(exchange);
    auto current = Json::object();
    auto met = true;
    for (const auto& condition : body.value("require", Json::array())) {
        const auto key = condition.at("key").get<std::string>();
        const auto found = rows_.find(key);
        const auto version = found == rows_.end() ? 0 : found->second.version;
        met = met && version == condition.at("version").get<std::uint64_t>();
        current[key] = found == rows_.end() ? Json(nullptr) : rowJson(found->second);
    }
    if (!met)
        return answer(exchange, 409, { { "current", current } });
    auto versions = Json::object();
    for (const auto& write : body.value("write", Json::array())) {
        auto& row = rows_[write.at("key").get<std::string>()];
        ++row.version;
        row.value = write.at("value");
        versions[write.at("key").get<std::string>()] = row.version;
    }
    for (const auto& key : body.value("delete", Json::array()))
        rows_.erase(key.get<std::string>());
    ++writeCount_;
    wrote(exchange, { { "versions", versions } });
}

auto PlatformStandin::wrote(const wire::HttpExchangePtr& exchange, const Json& body) -> void
{
    if (faults_.loseAnswers > 0) {
        --faults_.loseAnswers;
        return exchange->abort();
    }
    answer(exchange, 200, body);
}

auto PlatformStandin::readRow(const wire::HttpExchangePtr& exchange) -> void
{
    ++readCount_;
    const auto found = rows_.find(exchange->query("key"));
    if (found == rows_.end())
        return answer(exchange, 404, { { "error", "no such row" } });
    answer(exchange, 200, rowJson(found->second));
}

auto PlatformStandin::listRows(const wire::HttpExchangePtr& exchange) -> void
{
    ++readCount_;
    const auto prefix = exchange->query("prefix");
    auto list = Json::array();
    for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix); ++row) {
        auto item = rowJson(row->second);
        item["key"] = row->first;
        list.push_back(std::move(item));
    }
    answer(exchange, 200, { { "rows", list } });
}

auto PlatformStandin::object(const wire::HttpExchangePtr& exchange) -> void
{
    const auto key = exchange->query("key");
    if (exchange->method() == "PUT") {
        ++writeCount_;
        objects_[key] = std::string(exchange->body());
        return wrote(exchange, Json::object());
    }
    ++readCount_;
    const auto found = objects_.find(key);
    if (found == objects_.end())
        return answer(exchange, 404, { { "error", "no such object" } });
    exchange->respond(200, "application/octet-stream", found->second);
}

auto PlatformStandin::hosts(const wire::HttpExchangePtr& exchange) -> void
{
    ++readCount_;
    const auto tag = '"' + std::to_string(shownVersion_) + '"';
    exchange->setHeader("ETag", tag);
    if (exchange->header("If-None-Match") == tag)
        return exchange->respond(304, "application/json", "");
    ++listCount_;
    answer(exchange, 200, { { "hosts", shownHosts_ } });
}

auto PlatformStandin::load(const wire::HttpExchangePtr& exchange) -> void
{
    loads_.push_back({ exchange, bodyOf(exchange).value("model", "") });
    if (!loading_)
        nextLoad();
}

auto PlatformStandin::nextLoad() -> void
{
    loading_ = !loads_.empty();
    if (!loading_)
        return;
    auto next = std::move(loads_.front());
    loads_.pop_front();
    // The store gives full speed to one reader only; readers that wait beside it cost a quarter of that speed.
    const auto time = loads_.empty() ? options_.loadTime : options_.loadTime * 4 / 3;
    loop_.spawn(loop_.sleep(time).then([this, next] {
        ++loadCount_;
        if (faults_.weightsFail > 0) {
            --faults_.weightsFail;
            answer(next.exchange, 503, { { "error", "the weight store failed" } });
        } else {
            answer(next.exchange, 200, { { "model", next.model } });
        }
        nextLoad();
    }));
}

auto PlatformStandin::control(const wire::HttpExchangePtr& exchange) -> void
{
    const auto body = bodyOf(exchange);
    const auto path = exchange->path();
    if (path == "/standin/hosts") {
        if (body.contains("hosts")) {
            hosts_.clear();
            for (const auto& host : body["hosts"])
                hosts_[host.at("target").get<std::string>()] = host;
        } else if (body.value("state", "live") == "gone") {
            hosts_.erase(body.at("target").get<std::string>());
        } else {
            hosts_[body.at("target").get<std::string>()] = body;
        }
        auto list = Json::array();
        for (const auto& [name, host] : hosts_)
            list.push_back(host);
        loop_.spawn(loop_.sleep(faults_.hostLag).then([this, list] {
            shownHosts_ = list;
            ++shownVersion_;
        }));
        return answer(exchange, 200, Json::object());
    }
    if (path == "/standin/faults") {
        faults_.down = body.value("down", faults_.down);
        faults_.slow = std::chrono::milliseconds(body.value("slow_ms", 0));
        faults_.loseAnswers = body.value("lose_answers", faults_.loseAnswers);
        faults_.hostLag = std::chrono::milliseconds(body.value("host_lag_ms", 0));
        faults_.weightsFail = body.value("weights_fail", faults_.weightsFail);
        return answer(exchange, 200, Json::object());
    }
    answer(exchange, 200,
        { { "loads", loadCount_ }, { "writes", writeCount_ }, { "reads", readCount_ }, { "lists", listCount_ } });
}

} // namespace eelgrass::standins
