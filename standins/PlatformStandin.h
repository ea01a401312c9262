#pragma once

#include "standins/JsonAnswer.h"
#include "wire/MainLoop.h"

#include <deque>
#include <map>
#include <string>

namespace eelgrass::standins {

/// Takes the platform's place: tables with transactions, objects, the host list and the weight store.
///
/// The host list has an `ETag`; a read with `If-None-Match` of the list shown gets 304 without a body.
///
/// Faults are set through `POST /standin/faults`: `down` refuses everything, `slow_ms` delays every answer,
/// `lose_answers` drops that many answers after the write took effect, `host_lag_ms` keeps the list old,
/// `weights_fail` fails that many loads.
class PlatformStandin {
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        /// Time of one load when it runs alone; loads side by side share the speed.
        Duration loadTime = 500ms;
    };

    PlatformStandin(wire::MainLoop& loop, Options options);

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return server_.port(); }

private:
    struct Row {
        std::uint64_t version = 0;
        Json value;
    };
    struct Faults {
        bool down = false;
        Duration slow {};
        int loseAnswers = 0;
        Duration hostLag {};
        int weightsFail = 0;
    };
    struct Load {
        wire::HttpExchangePtr exchange;
        std::string model;
    };

    auto handle(const wire::HttpExchangePtr& exchange) -> void;
    auto route(const wire::HttpExchangePtr& exchange) -> void;
    auto transact(const wire::HttpExchangePtr& exchange) -> void;
    auto readRow(const wire::HttpExchangePtr& exchange) -> void;
    auto listRows(const wire::HttpExchangePtr& exchange) -> void;
    auto object(const wire::HttpExchangePtr& exchange) -> void;
    auto hosts(const wire::HttpExchangePtr& exchange) -> void;
    auto load(const wire::HttpExchangePtr& exchange) -> void;
    auto nextLoad() -> void;
    auto control(const wire::HttpExchangePtr& exchange) -> void;
    auto wrote(const wire::HttpExchangePtr& exchange, const Json& body) -> void;

    wire::MainLoop& loop_;
    Options options_;
    std::map<std::string, Row> rows_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, Json> hosts_;
    Json shownHosts_ = Json::array();
    std::uint64_t shownVersion_ = 0;
    std::uint64_t listCount_ = 0;
    Faults faults_;
    std::deque<Load> loads_;
    bool loading_ = false;
    std::uint64_t loadCount_ = 0;
    std::uint64_t writeCount_ = 0;
    std::uint64_t readCount_ = 0;
    wire::HttpServer server_;
};

} // namespace eelgrass::standins
