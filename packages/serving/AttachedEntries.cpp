#include "serving/AttachedEntries.h"

#include "serving/detail/FirstKnown.h"
#include "serving/detail/StreamOriginMessages.h"

namespace eelgrass::serving {

auto AttachedEntries::findStreamOrigin(const StreamId& stream, StatePublisher::Key asking)
    -> kj::Promise<std::optional<StreamOrigins::Known>>
{
    using Known = std::optional<StreamOrigins::Known>;
    if (questions_ >= maxQuestions)
        return Known();
    auto answers = std::vector<kj::Promise<Known>>();
    publisher_.forOtherListeners(asking, [&](wire::schema::ReplicaListener::Client& listener) {
        auto call = listener.findStreamOriginRequest();
        call.setMember(stream.member.str());
        call.setAttempt(stream.attempt.str());
        answers.push_back(call.send().then([this](auto&& answer) -> Known {
            if (!answer.getKnown())
                return std::nullopt;
            return detail::readKnown(answer.getOrigin(), loop_.timers().now());
        }));
    });
    ++questions_;
    return detail::firstKnown(loop_, std::move(answers), answerTimeout).attach(kj::defer([this] { --questions_; }));
}

} // namespace eelgrass::serving
