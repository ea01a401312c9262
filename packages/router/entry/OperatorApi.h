#pragma once

#include "router/Settings.h"
#include "router/controllers/ConfigController.h"
#include "router/controllers/TargetsController.h"
#include "wire/HttpServer.h"
#include "wire/MainLoop.h"

#include <functional>

namespace eelgrass::router {

/// What operators may ask of an entry under `/admin/v1`, each with a key of their own.
class OperatorApi {
public:
    /// `status` gives what the entry says of itself.
    OperatorApi(wire::MainLoop& loop, const EntrySettings& settings, ConfigController& config,
        TargetsController& targets, std::function<Json()> status);

    auto serve(const wire::HttpExchangePtr& exchange) -> void;

private:
    struct Request {
        wire::HttpExchangePtr exchange;
        RequestId id;
        std::string operatorName;
        /// Behind `/admin/v1/`.
        std::string path;
    };

    [[nodiscard]] auto operatorOf(const wire::HttpExchangePtr& exchange) const -> const std::string*;
    auto route(const Request& request) -> bool;
    auto config(const Request& request) -> void;
    auto adapter(const Request& request, const std::string& name) -> void;
    auto history(const Request& request) -> void;
    auto patch(const Request& request) -> void;
    auto status(const Request& request) -> void;
    auto explain(const Request& request) -> void;
    auto drain(const Request& request, const std::string& target, bool drained) -> void;
    auto submitDrain(Request request, std::string target, bool drained, int tries) -> kj::Promise<void>;
    auto answer(const Request& request, kj::Promise<void> work) -> void;
    auto answerPatch(const Request& request, const std::variant<ConfigVersion, Error>& outcome) -> void;
    auto setVersion(const Request& request) -> void;

    wire::MainLoop& loop_;
    const EntrySettings& settings_;
    ConfigController& config_;
    TargetsController& targets_;
    std::function<Json()> status_;
};

} // namespace eelgrass::router
