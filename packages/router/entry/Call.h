#pragma once

#include "router/Configuration.h"
#include "router/WireTypes.h"
#include "router/controllers/ConfigController.h"
#include "wire/HttpServer.h"

#include <memory>

namespace eelgrass::router {

/// A caller's request as it passes through the filters. Each filter fills in the fields that later steps need.
struct Call {
    wire::HttpExchangePtr exchange;
    RequestId requestId;
    Moment receivedAt {};
    /// The configuration when the request arrived; it applies to the request until its end.
    ConfigurationPtr configuration;

    Caller caller;
    AttemptRequest::Kind kind = AttemptRequest::Kind::Completion;
    /// The caller wants the answer as a stream of events.
    bool stream = false;
    /// Parsed body of a completion or chat.
    Json body;
    /// Name of a plain service.
    std::string service;
    /// Path and query that the service gets.
    std::string servicePath;

    ResolvedModel model;
    RequestClass requestClass;
    /// Time for the whole request, from its arrival.
    std::chrono::milliseconds deadline {};
    /// The request may run only once.
    bool neverRepeat = false;
    /// Empty if the caller gave none.
    std::string idempotencyKey;
};

using CallPtr = std::shared_ptr<Call>;

} // namespace eelgrass::router
