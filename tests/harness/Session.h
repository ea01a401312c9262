#pragma once

#include "tests/harness/Deployment.h"
#include "tests/harness/RawCaller.h"

#include <string>

namespace eelgrass::tests {

/// A whole session with an entry as text: each request and its answer, with what differs from run to run left out.
///
/// Request ids become `REQUEST-ID`, the date is dropped, chunk framing is undone, and token events that follow one
/// another are joined, since how many tokens come in one event depends on the machine.
class Session {
public:
    explicit Session(const std::string& url)
        : url_(url)
    {
    }

    auto ask(const std::string& path, const std::string& body, const RawHeaders& headers = {},
        const std::string& method = "POST") -> void;
    [[nodiscard]] auto text() const noexcept -> const std::string& { return text_; }

private:
    std::string url_;
    std::string text_;
};

} // namespace eelgrass::tests
