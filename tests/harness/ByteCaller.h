#pragma once

#include "tests/harness/StreamCaller.h"

#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::tests {

/// A client on the test's loop that writes its bytes when it is told to, and keeps the connection until the other side
/// ends it.
///
/// ```cpp
/// auto caller = ByteCaller(port);
/// caller.send(head);
/// world.until([&] { return caller.ended(); });
/// BOOST_TEST(caller.answers().front().whole);
/// ```
class ByteCaller {
public:
    explicit ByteCaller(std::uint16_t port, const std::string& address = "127.0.0.1");
    ByteCaller(const ByteCaller&) = delete;
    auto operator=(const ByteCaller&) -> ByteCaller& = delete;

    auto send(std::string_view bytes) -> void
    {
        if (connection_)
            connection_->write(bytes);
    }
    /// Reads nothing more until `resumeReading`.
    auto pauseReading() -> void { connection_->pauseReading(); }
    auto resumeReading() -> void { connection_->resumeReading(); }
    /// Whether the other side has refused, closed or reset the connection.
    [[nodiscard]] auto ended() const noexcept -> bool { return ended_; }
    /// The answers so far; the last one may be incomplete.
    [[nodiscard]] auto answers() const -> std::vector<ReceivedAnswer>;
    [[nodiscard]] auto received() const noexcept -> const std::string& { return received_; }

private:
    std::string received_;
    bool ended_ = false;
    std::unique_ptr<wire::TcpConnection> connection_;
};

} // namespace eelgrass::tests
