#pragma once

#include <boost/leaf.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace eelgrass {

/// Where in a request's way, or in a process's life, an error arose.
enum class Step {
    Settings,
    Connect,
    Authenticate,
    Parse,
    Authorize,
    Resolve,
    Claim,
    Admit,
    Place,
    Start,
    Queue,
    Load,
    Engine,
    Service,
    Relay,
    Platform,
    Configure,
};

/// What is known of whether the request ran. `NotRun` is said only when proved.
enum class RunState { NotRun, Unknown, Partial };

[[nodiscard]] auto toString(Step) noexcept -> std::string_view;
[[nodiscard]] auto toString(RunState) noexcept -> std::string_view;
[[nodiscard]] auto stepFrom(std::string_view) noexcept -> std::optional<Step>;

/// An error as a value: what the caller is told, the step and the peer at which it arose.
///
/// ```cpp
/// return fail(Error(Step::Parse, 400, "invalid_request", "prompt is missing"));
/// ```
class Error {
public:
    Error(Step step, int status, std::string type, std::string message);

    /// Each of these gives a new value, so that it may be assigned to the variable that it came from.
    [[nodiscard]] auto at(std::string peer) && -> Error;
    [[nodiscard]] auto run(RunState) && -> Error;
    [[nodiscard]] auto retryAfter(std::chrono::milliseconds) && -> Error;

    [[nodiscard]] auto step() const noexcept -> Step { return step_; }
    /// HTTP status that fits.
    [[nodiscard]] auto status() const noexcept -> int { return status_; }
    [[nodiscard]] auto type() const noexcept -> const std::string& { return type_; }
    [[nodiscard]] auto message() const noexcept -> const std::string& { return message_; }
    [[nodiscard]] auto peer() const noexcept -> const std::string& { return peer_; }
    [[nodiscard]] auto run() const noexcept -> RunState { return run_; }
    /// When to come back; empty where waiting does not help.
    [[nodiscard]] auto retryAfter() const noexcept -> std::optional<std::chrono::milliseconds> { return retryAfter_; }

    friend auto operator<<(std::ostream&, const Error&) -> std::ostream&;

private:
    Step step_;
    int status_;
    std::string type_;
    std::string message_;
    std::string peer_;
    RunState run_ = RunState::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter_;
};

template <typename T> using Result = boost::leaf::result<T>;

[[nodiscard]] inline auto fail(Error error) -> boost::leaf::error_id
{
    return boost::leaf::new_error(std::move(error));
}

/// Runs `body`, which returns a `Result`, and hands an error to `handler` as a value.
template <typename Body, typename Handler> auto orElse(Body&& body, Handler&& handler)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](const Error& error) { return handler(error); },
        [&] { return handler(Error(Step::Parse, 500, "internal", "an error without a description")); });
}

} // namespace eelgrass
