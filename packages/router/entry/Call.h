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
    /// The configuration at the time when the request arrived. It applies to the request until the request ends.
    ConfigurationPtr configuration;

    Caller caller;
    AttemptRequest::Kind kind = AttemptRequest::Kind::Completion;
    /// Whether the caller wants the answer as a stream of events.
    bool stream = false;
    /// Parsed body of a completion or chat.
    Json body;
    /// Name of a plain service.
    std::string service;
    /// Path and query that are passed on to the service.
    std::string servicePath;

    ResolvedModel model;
    RequestClass requestClass;
    /// Time limit for the whole request, measured from its arrival.
    std::chrono::milliseconds deadline {};
    /// Whether the request may run only once.
    bool neverRepeat = false;
    /// Empty if the caller gave none.
    std::string idempotencyKey;
};

using CallPtr = std::shared_ptr<Call>;

} // namespace eelgrass::router
