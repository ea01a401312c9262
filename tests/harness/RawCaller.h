#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrass::tests {

/// A caller that may misbehave: sends bytes as they are given, reads when it is told to.
///
/// ```cpp
/// auto caller = RawCaller(deployment.entryUrl("e1"));
/// caller.send(rawRequest("/v1/completions", body));
/// auto answer = caller.receiveUntil("[DONE]");
/// ```
class RawCaller {
public:
    /// `receiveBuffer` in bytes bounds what the kernel takes for a caller that does not read; 0 for the usual.
    explicit RawCaller(const std::string& url, int receiveBuffer = 0);
    ~RawCaller();
    RawCaller(const RawCaller&) = delete;
    auto operator=(const RawCaller&) -> RawCaller& = delete;

    /// False when the other side has closed.
    auto send(std::string_view bytes) -> bool;
    /// Everything received so far, up to and with the bytes of the read in which `text` came; less at the end.
    auto receiveUntil(std::string_view text) -> const std::string&;
    /// Everything up to the end of the connection.
    auto receiveAll() -> const std::string&;
    /// Waits for bytes; false at the end of the connection.
    auto receiveSome() -> bool { return receive(); }
    /// Everything received so far.
    [[nodiscard]] auto received() const noexcept -> const std::string& { return received_; }
    /// Whether bytes or the end of the connection can be received without waiting.
    [[nodiscard]] auto readable() const -> bool;
    auto hangUp() -> void;

private:
    auto receive() -> bool;

    int fd_;
    std::string received_;
};

using RawHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request as bytes, with the key of the tests' caller unless `headers` has an `Authorization`.
[[nodiscard]] auto rawRequest(const std::string& path, const std::string& body, const RawHeaders& headers = {},
    const std::string& method = "POST") -> std::string;

} // namespace eelgrass::tests
