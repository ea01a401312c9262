#pragma once

#include "wire/HttpServer.h"

#include <nlohmann/json.hpp>

namespace eelgrass::standins {

using Json = nlohmann::json;

inline auto answer(const wire::HttpExchangePtr& exchange, int status, const Json& body) -> void
{
    exchange->respond(status, "application/json", body.dump());
}

/// The body as JSON; an empty object when it is not.
inline auto bodyOf(const wire::HttpExchangePtr& exchange) -> Json
{
    auto parsed = Json::parse(exchange->body(), nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

} // namespace eelgrass::standins
