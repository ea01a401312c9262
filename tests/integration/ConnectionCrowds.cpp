// Most new connections of a region come to one of several entries, each a process of its own, while clients open three
// times as many; that entry then ends, and the next one gets them.
#include "tests/harness/ByteCaller.h"
#include "tests/harness/GatewayProcess.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

constexpr auto gateways = std::size_t(3);
constexpr auto calmInterval = Duration(24ms);
constexpr auto crowdInterval = calmInterval / 3;
// From then on the users' rule counts.
constexpr auto contactTime = Duration(3s);

struct Share {
    std::size_t read = 0;
    std::size_t served = 0;

    [[nodiscard]] auto value() const -> double
    {
        return read == 0 ? 0 : static_cast<double>(served) / static_cast<double>(read);
    }
};

/// Clients that open a connection for each request and try elsewhere what was refused or closed unread.
class Crowd {
public:
    Crowd()
        : world_({ .grace = std::chrono::milliseconds(8000) })
    {
        processes_.push_back(&world_.process());
        for (auto number = std::size_t(1); number < gateways; ++number)
            processes_.push_back(&world_.addGateway("gateway-" + std::to_string(number)));
        world_.plain().behave({ .silence = { .at = standins::ReplicaStandin::Silence::At::BeforeHead, .time = 60ms } });
        world_.engine().behave({ .eventGap = 20ms });
        for (auto* process : processes_) {
            for (const auto* path : { "/safe/x", "/resumable/x" })
                world_.until([&] { return served(*process, path); });
        }
    }
    /// Sends for so long, nine of ten at `crowded` if there is one.
    auto send(Duration time, Duration interval, std::optional<std::size_t> crowded = {}) -> Moment
    {
        const auto begun = now();
        for (auto next = begun; next < begun + time; next += interval) {
            world_.wait(std::max(next - now(), Duration(0)));
            const auto number = clients_.size();
            const auto elsewhere = !crowded || number % 10 == 9;
            ask(elsewhere ? number % gateways : *crowded);
            retryUnread();
        }
        return begun;
    }
    /// Of the requests sent from then on, the share that the first entry which read them has served.
    auto shareFrom(Moment from) -> Share
    {
        const auto until = now();
        world_.wait(4s);
        retryUnread();
        world_.wait(1s);
        auto share = Share();
        for (const auto& client : clients_) {
            if (client.sentAt < from || client.sentAt > until || client.tries.empty())
                continue;
            const auto answers = client.tries.back()->answers();
            if (answers.empty())
                continue;
            ++share.read;
            share.served += answers.front().whole && answers.front().status == 200 ? 1 : 0;
        }
        BOOST_TEST_MESSAGE("served " << share.served << " of " << share.read);
        return share;
    }
    auto process(std::size_t index) -> Process& { return *processes_.at(index); }
    auto now() -> Moment { return world_.loop().timers().now(); }

private:
    struct Client {
        Moment sentAt {};
        std::size_t gateway = 0;
        std::string text;
        std::vector<std::unique_ptr<ByteCaller>> tries;
    };
    auto served(Process& process, const std::string& path) -> bool
    {
        auto caller = ByteCaller(process.listeningPort());
        caller.send(RawCall { .path = path, .attempt = "first" }.text());
        world_.until([&] { return caller.ended() || (!caller.answers().empty() && caller.answers().front().whole); });
        return !caller.answers().empty() && caller.answers().front().status == 200;
    }
    auto ask(std::size_t gateway) -> void
    {
        const auto number = clients_.size();
        const auto* path = number % 2 == 0 ? "/safe/x" : "/resumable/x";
        const auto attempt = "attempt-" + std::to_string(number);
        auto client = Client { .sentAt = now(), .gateway = gateway };
        client.text
            = RawCall { .path = path, .attempt = attempt, .deadlineMs = 2500, .body = "prompt " + attempt }.text();
        clients_.push_back(std::move(client));
        tryAt(clients_.back(), gateway);
    }
    auto tryAt(Client& client, std::size_t gateway) -> void
    {
        client.gateway = gateway;
        client.tries.push_back(std::make_unique<ByteCaller>(processes_.at(gateway)->listeningPort()));
        client.tries.back()->send(client.text);
    }
    /// What was refused or closed without an answer goes to the next entry.
    auto retryUnread() -> void
    {
        for (auto& client : clients_) {
            const auto& last = *client.tries.back();
            if (client.tries.size() <= gateways && last.ended() && last.answers().empty())
                tryAt(client, (client.gateway + 1) % gateways);
        }
    }

    GatewayProcess world_;
    std::vector<Process*> processes_;
    std::vector<Client> clients_;
};

auto judge(const std::function<void(Crowd&)>& beforeNext) -> void
{
    auto crowd = Crowd();
    const auto calm = crowd.shareFrom(crowd.send(3s, calmInterval));
    const auto crowded = crowd.shareFrom(crowd.send(6s, crowdInterval, std::size_t(1)) + contactTime);
    beforeNext(crowd);
    const auto next = crowd.shareFrom(crowd.send(5s, crowdInterval, std::size_t(2)));
    BOOST_TEST(calm.value() > 0.9);
    BOOST_TEST(crowded.value() >= 0.75 * calm.value());
    BOOST_TEST(next.value() >= 0.75 * calm.value());
}

} // namespace

// Guards against an entry that takes more than it can serve while most clients connect to it.
BOOST_AUTO_TEST_CASE(entry_that_gets_most_connections_serves_them_until_it_is_stopped)
{
    judge([](Crowd& crowd) { crowd.process(1).signal(SIGTERM); });
}

// The same for an entry that is killed, so that the next one gets them without notice.
BOOST_AUTO_TEST_CASE(entry_that_gets_most_connections_serves_them_until_it_is_killed)
{
    judge([](Crowd& crowd) { crowd.process(1).signal(SIGKILL); });
}
