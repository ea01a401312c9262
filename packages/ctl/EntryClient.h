#pragma once

#include "wire/HttpClient.h"
#include "wire/MainLoop.h"

#include <nlohmann/json.hpp>

#include <string>

namespace eelgrass::ctl {

using Json = nlohmann::json;

/// An entry's answer to an operator; status 0 when the entry could not be reached.
struct EntryAnswer {
    int status = 0;
    /// Null when the answer was not JSON.
    Json body;
    /// Version of the configuration that the answer is about; empty when none was named.
    std::string version;
};

/// Asks one entry on an operator's behalf, one question at a time.
///
/// ```cpp
/// auto answer = EntryClient("http://127.0.0.1:8080", key).get("status");
/// ```
class EntryClient {
public:
    EntryClient(std::string url, std::string key);

    /// `path` is what stands behind `/admin/v1/`.
    [[nodiscard]] auto get(const std::string& path) -> EntryAnswer;
    [[nodiscard]] auto send(const std::string& method, const std::string& path) -> EntryAnswer;
    /// Submits a patch against a version.
    [[nodiscard]] auto patch(const Json& patch, const std::string& version) -> EntryAnswer;

private:
    auto ask(wire::HttpRequest request) -> EntryAnswer;

    wire::MainLoop loop_;
    wire::HttpClient http_;
    std::string url_;
    std::string key_;
};

/// Text as a part of a URL's query.
[[nodiscard]] auto urlEscaped(const std::string& text) -> std::string;

} // namespace eelgrass::ctl
