#pragma once

#include "router/target/Attempt.h"
#include "targets/Targets.h"

#include <concepts>
#include <functional>

namespace eelgrass::router {

/// Runs attempts at the back end of a target process, an engine or a plain service, and ends their output.
template <typename T>
concept Runner = requires(T runner, AttemptPtr attempt, Epoch epoch)
{
    {
        runner.run(attempt, epoch)
        } -> std::same_as<kj::Promise<void>>;
    {
        runner.cancel(attempt)
        } -> std::same_as<kj::Promise<void>>;
    {
        runner.adopt(attempt)
        } -> std::same_as<kj::Promise<void>>;
    {
        runner.knows(attempt->request.attempt, attempt->request.model)
        } -> std::same_as<kj::Promise<bool>>;
};

/// Runs completions at a model engine. After a broken connection the stream is resumed at the next token.
class EngineRunner {
public:
    EngineRunner(wire::MainLoop& loop, targets::EngineClient& engine)
        : loop_(loop)
        , engine_(engine)
    {
    }

    auto run(const AttemptPtr& attempt, Epoch epoch) -> kj::Promise<void>;
    /// Reads a stream that an earlier process of this target began, from the output's current token on.
    auto adopt(const AttemptPtr& attempt) -> kj::Promise<void>;
    /// Whether the engine has a stream of this attempt, running or finished.
    [[nodiscard]] auto knows(AttemptId attempt, ModelName model) -> kj::Promise<bool>;
    /// Called when the engine cannot be reached, or lacks an adapter or a stream that it should have.
    auto onMissing(std::function<void()> callback) -> void { onMissing_ = std::move(callback); }
    auto cancel(const AttemptPtr& attempt) -> kj::Promise<void> { return engine_.cancel(attempt->request.attempt); }

private:
    using StreamPtr = std::shared_ptr<kj::Own<targets::CompletionStream>>;

    auto begin(const AttemptPtr& attempt, kj::Own<targets::CompletionStream> stream, int resumes) -> kj::Promise<void>;
    auto forwardOutput(const AttemptPtr& attempt, const StreamPtr& stream, int resumes) -> kj::Promise<void>;
    auto resume(const AttemptPtr& attempt, int resumes, std::string reason) -> kj::Promise<void>;
    /// Ends an attempt whose answer may not continue at this engine.
    auto refuseOtherSoftware(const AttemptPtr& attempt) -> kj::Promise<void>;

    auto reportMissing() -> void;

    wire::MainLoop& loop_;
    targets::EngineClient& engine_;
    std::function<void()> onMissing_;
};

/// Forwards calls to a plain service.
class ServiceRunner {
public:
    explicit ServiceRunner(targets::ServiceClient& service)
        : service_(service)
    {
    }

    auto run(const AttemptPtr& attempt, Epoch epoch) -> kj::Promise<void>;
    auto cancel(const AttemptPtr&) -> kj::Promise<void> { return kj::READY_NOW; }
    /// Does nothing, because a service's answer cannot be read a second time.
    auto adopt(const AttemptPtr&) -> kj::Promise<void> { return kj::READY_NOW; }
    [[nodiscard]] auto knows(AttemptId, ModelName) -> kj::Promise<bool> { return false; }

private:
    using StreamPtr = std::shared_ptr<kj::Own<wire::HttpStream>>;

    auto forwardOutput(const AttemptPtr& attempt, const StreamPtr& stream) -> kj::Promise<void>;

    targets::ServiceClient& service_;
};

static_assert(Runner<EngineRunner>, "an engine runner must run and cancel attempts");
static_assert(Runner<ServiceRunner>, "a service runner must run and cancel attempts");

} // namespace eelgrass::router
