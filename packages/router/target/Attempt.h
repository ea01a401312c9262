#pragma once

#include "router/target/AttemptOutput.h"

#include <memory>

namespace eelgrass::router {

/// One attempt at a request, from its acceptance by the target process to the last acknowledged byte.
class Attempt {
public:
    enum class State { Queued, Running, Ended };

    Attempt(wire::MainLoop& loop, AttemptRequest start, Moment at)
        : request(std::move(start))
        , acceptedAt(at)
        , output(
              loop, request.neverRepeat ? AttemptOutput::Keep::UntilReleased : AttemptOutput::Keep::UntilAcknowledged)
    {
    }

    const AttemptRequest request;
    const Moment acceptedAt;
    State state = State::Queued;
    /// When the request first had to wait for a load; unset if its adapter was there.
    std::optional<Moment> stalledAt;
    Duration loadStall {};
    Duration queueWait {};
    bool cancelled = false;
    /// It was sent to the engine or service, or is about to be; from here on it cannot be revoked.
    bool started = false;
    /// It holds its adapter's slot.
    bool pinned = false;
    /// Begun by an earlier process of this target, and not read here before an entry asks for it.
    bool adopted = false;
    /// As the engine said it; an engine that says nothing stopped by itself.
    std::string finishReason = "stop";
    AttemptOutput output;
    /// The work at the engine or service; dropping it cancels the work.
    kj::Maybe<kj::Promise<void>> work;
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace eelgrass::router
