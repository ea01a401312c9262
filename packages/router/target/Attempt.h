#pragma once

#include "router/target/AttemptOutput.h"

#include <memory>

namespace eelgrass::router {

/// One attempt to run a request, from its acceptance by the target process to the last acknowledged byte.
class Attempt {
public:
    enum class State { Queued, Running, Ended };

    Attempt(wire::MainLoop& loop, AttemptRequest start, Moment at)
        : request(std::move(start))
        , acceptedAt(at)
        , output(loop,
              request.neverRepeat ? AttemptOutput::Retention::UntilReleased
                                  : AttemptOutput::Retention::UntilAcknowledged)
    {
    }

    const AttemptRequest request;
    const Moment acceptedAt;
    State state = State::Queued;
    /// When the request began to wait for its adapter to load; unset if the adapter was resident.
    std::optional<Moment> stalledAt;
    Duration loadStall {};
    Duration queueWait {};
    bool cancelled = false;
    /// Whether the attempt was sent, or is about to be sent, to the engine or service; it can then no longer be
    /// revoked.
    bool started = false;
    /// Whether this attempt pins its adapter's slot.
    bool pinned = false;
    /// Whether an earlier process of this target started the attempt. The attempt's stream is not read until an entry
    /// resumes the attempt.
    bool adopted = false;
    /// The start of the engine that runs the attempt; see `EngineCrashes::numberOf`.
    std::uint64_t engineStart = 0;
    Moment startedAt {};
    /// The finish reason that the engine reports; "stop" if the engine reports none.
    std::string finishReason = "stop";
    AttemptOutput output;
    /// The running call to the engine or service; destroying the promise cancels the call.
    kj::Maybe<kj::Promise<void>> task;
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace eelgrass::router
