#pragma once

#include "serving/StatePublisher.h"
#include "serving/StreamOrigins.h"
#include "wire/MainLoop.h"

#include <optional>

namespace eelgrass::serving {

/// The entries that have a session with an agent, which asks them on behalf of one another: an entry knows only few of
/// the others.
class AttachedEntries {
public:
    AttachedEntries(wire::MainLoop& loop, StatePublisher& publisher)
        : loop_(loop)
        , publisher_(publisher)
    {
    }
    KJ_DISALLOW_COPY(AttachedEntries);

    /// Asks all entries but `asking` where the stream began. Empty if none of them knows, or none answers in time.
    [[nodiscard]] auto findStreamOrigin(const StreamId& stream, StatePublisher::Key asking)
        -> kj::Promise<std::optional<StreamOrigins::Known>>;

private:
    // The asking entry stops waiting shortly after this.
    static constexpr auto answerTimeout = Duration(60ms);
    // Questions under way at one time. With many entries a burst of them would take the processor from admissions.
    static constexpr auto maxQuestions = std::size_t(64);

    wire::MainLoop& loop_;
    StatePublisher& publisher_;
    std::size_t questions_ = 0;
};

} // namespace eelgrass::serving
