#pragma once

#include "base/Ids.h"
#include "wire/HttpClient.h"

#include <string>

namespace eelgrass::targets {

/// A call to pass to a plain service.
struct ServiceCall {
    AttemptId attempt;
    std::string method;
    /// Path and query behind the service's name.
    std::string path;
    std::string contentType;
    std::string body;
    /// The call may not be repeated.
    bool once = false;
};

/// Client of one plain service.
class ServiceClient {
public:
    ServiceClient(const std::string& address, std::uint16_t port);

    [[nodiscard]] auto call(ServiceCall call) -> kj::Promise<kj::Own<wire::HttpStream>>;

private:
    std::string base_;
    wire::HttpClient http_;
};

} // namespace eelgrass::targets
