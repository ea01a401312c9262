#pragma once

#include "router/Settings.h"
#include "router/controllers/ConfigController.h"
#include "router/controllers/TargetsController.h"
#include "wire/HttpServer.h"
#include "wire/MainLoop.h"

#include <functional>

namespace eelgrass::router {

/// The HTTP API for operators under `/admin/v1`. Each operator authenticates with a key of their own.
class OperatorApi {
public:
    /// `status` returns the entry's own part of the answer to `/admin/v1/status`. The references must outlive this
    /// object.
    OperatorApi(wire::MainLoop& loop, const EntrySettings& settings, ConfigController& config,
        TargetsController& targets, std::function<Json()> status);

    /// Answers a request whose path begins with `/admin/`.
    auto serve(const wire::HttpExchangePtr& exchange) -> void;

private:
    struct Request {
        wire::HttpExchangePtr exchange;
        RequestId id;
        std::string operatorName;
        /// The part of the path after `/admin/v1/`.
        std::string path;
    };

    /// Name of the operator whose key the request has; null if the key is missing or unknown.
    [[nodiscard]] auto findOperator(const wire::HttpExchangePtr& exchange) const -> const std::string*;
    /// Calls the handler of the request's path and method; false if there is none.
    auto route(const Request& request) -> bool;
    auto sendConfig(const Request& request) -> void;
    auto sendAdapter(const Request& request, const std::string& name) -> void;
    auto sendHistory(const Request& request) -> void;
    auto submitPatch(const Request& request) -> void;
    auto sendStatus(const Request& request) -> void;
    /// Answers where a request for a model would be placed and why.
    auto sendExplanation(const Request& request) -> void;
    auto setDrained(const Request& request, const std::string& target, bool drained) -> void;
    /// Submits the change against the current version of the configuration. If it conflicts with another change, it is
    /// submitted again, at most `tries` times in all.
    auto submitDrain(Request request, std::string target, bool drained, int tries) -> kj::Promise<void>;
    /// Runs `work`, which sends the answer. Answers 503 if `work` rejects.
    auto spawn(const Request& request, kj::Promise<void> work) -> void;
    auto sendPatchResult(const Request& request, const std::variant<ConfigVersion, Error>& outcome) -> void;
    /// Sets the header `ETag` to the configuration's version.
    auto setETag(const Request& request) -> void;

    wire::MainLoop& loop_;
    const EntrySettings& settings_;
    ConfigController& config_;
    TargetsController& targets_;
    std::function<Json()> status_;
};

} // namespace eelgrass::router
