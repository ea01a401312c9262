#include "tests/harness/ByteCaller.h"

namespace eelgrass::tests {

ByteCaller::ByteCaller(std::uint16_t port, const std::string& address)
    : connection_(wire::TcpConnection::connect(address, port,
        { .onData = [this] { received_.append(std::exchange(connection_->input(), {})); },
            .onEnd = [this](wire::StreamEnd) { ended_ = true; } }))
{
    // A refusal on this host may be known at once.
    ended_ = ended_ || !connection_;
}

auto ByteCaller::answers() const -> std::vector<ReceivedAnswer>
{
    auto answers = std::vector<ReceivedAnswer>();
    auto rest = received_;
    while (!rest.empty()) {
        auto reader = wire::ResponseReader(false);
        auto answer = ReceivedAnswer();
        const auto fault = reader.feed(rest, answer.body);
        const auto head = reader.headComplete() ? reader.head() : wire::HttpResponseHead();
        answer.status = head.status;
        answer.fields = head.fields;
        answer.whole = fault == wire::HttpFault::None && reader.complete();
        answers.push_back(answer);
        if (!answer.whole)
            break;
    }
    return answers;
}

} // namespace eelgrass::tests
