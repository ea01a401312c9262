#pragma once

#include "router/Configuration.h"
#include "router/WireTypes.h"
#include "router/controllers/ConfigController.h"
#include "wire/HttpServer.h"

#include <memory>

namespace eelgrass::router {

/// One caller's request on its way through the filters. Each filter fills in what the next ones need.
struct Call {
    wire::HttpExchangePtr exchange;
    RequestId requestId;
    Moment receivedAt {};
    /// The configuration that this request is judged by, from its first filter to its end.
    ConfigurationPtr configuration;

    Caller caller;
    AttemptRequest::Kind kind = AttemptRequest::Kind::Completion;
    bool stream = false;
    Json body;
    std::string service;
    std::string servicePath;

    ResolvedModel model;
    RequestClass requestClass;
    std::chrono::milliseconds deadline {};
    bool neverRepeat = false;
    std::string idempotencyKey;
};

using CallPtr = std::shared_ptr<Call>;

} // namespace eelgrass::router
