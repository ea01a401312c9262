#pragma once

#include "platform/AnswerHeaders.h"
#include "serving/EventSplitter.h"
#include "serving/KeptAnswer.h"
#include "serving/Replica.h"
#include "serving/ReplicaLeg.h"

#include <memory>
#include <string>
#include <string_view>

namespace eelgrass::serving {

/// One run of a request at one replica, and what has come of its answer.
struct ReplicaRun {
    explicit ReplicaRun(std::shared_ptr<AnswerMemory> memory)
        : body(std::move(memory))
    {
    }

    ReplicaPtr replica;
    /// Null once the run is over.
    std::shared_ptr<ReplicaConnection> connection;
    /// The agent that admitted the run; null if none did.
    AgentLink* agent = nullptr;
    Moment sentAt {};
    /// When the replica last sent something for this run; before that, when the request was written.
    Moment heardAt {};
    wire::HttpResponseHead head;
    hosting::AnswerMetadata answer;
    KeptAnswer body;
    EventSplitter events;
    /// The answer is a stream that is forwarded event by event.
    bool streaming = false;
    /// An event of this run has been forwarded, the first one at `firstEventAt`.
    bool hasEvents = false;
    Moment firstEventAt {};
    /// What it holds is known to be sound, since its stream has gone on for long.
    bool proven = false;
    /// The replica has been silent for so long that another one was searched, and nothing has come since.
    bool silent = false;
    /// Reading is paused, because the client does not take the answer fast enough.
    bool paused = false;

    /// How much of the answer has come.
    [[nodiscard]] auto progress() const noexcept -> std::string_view
    {
        if (hasEvents)
            return "events";
        return head.status == 0 ? "nothing" : "head";
    }
};

} // namespace eelgrass::serving
