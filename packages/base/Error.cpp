#include "base/Error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace eelgrass {

namespace {

constexpr auto stepNames = std::to_array<std::pair<Step, std::string_view>>({
    { Step::Settings, "settings" },
    { Step::Connect, "connect" },
    { Step::Authenticate, "authenticate" },
    { Step::Parse, "parse" },
    { Step::Authorize, "authorize" },
    { Step::Resolve, "resolve" },
    { Step::Claim, "claim" },
    { Step::Admit, "admit" },
    { Step::Place, "place" },
    { Step::Start, "start" },
    { Step::Queue, "queue" },
    { Step::Load, "load" },
    { Step::Engine, "engine" },
    { Step::Service, "service" },
    { Step::Relay, "relay" },
    { Step::Platform, "platform" },
    { Step::Configure, "configure" },
});

} // namespace

auto toString(Step step) noexcept -> std::string_view
{
    const auto* found
        = std::find_if(stepNames.begin(), stepNames.end(), [&](auto& entry) { return entry.first == step; });
    return found == stepNames.end() ? "unknown" : found->second;
}

auto stepFrom(std::string_view name) noexcept -> std::optional<Step>
{
    const auto* found
        = std::find_if(stepNames.begin(), stepNames.end(), [&](auto& entry) { return entry.second == name; });
    return found == stepNames.end() ? std::nullopt : std::optional(found->first);
}

auto toString(RunState run) noexcept -> std::string_view
{
    switch (run) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Partial:
        return "partial";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

Error::Error(Step step, int status, std::string type, std::string message)
    : step_(step)
    , status_(status)
    , type_(std::move(type))
    , message_(std::move(message))
{
}

auto Error::at(std::string peer) && -> Error
{
    peer_ = std::move(peer);
    return std::move(*this);
}

auto Error::run(RunState state) && -> Error
{
    run_ = state;
    return std::move(*this);
}

auto Error::retryAfter(std::chrono::milliseconds delay) && -> Error
{
    retryAfter_ = delay;
    return std::move(*this);
}

auto operator<<(std::ostream& out, const Error& error) -> std::ostream&
{
    out << toString(error.step_) << ": " << error.message_ << " (" << error.type_;
    if (!error.peer_.empty())
        out << ", peer " << error.peer_;
    return out << ", " << toString(error.run_) << ")";
}

} // namespace eelgrass
