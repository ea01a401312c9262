#include "serving/PeerQueries.h"

#include "base/Log.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

constexpr auto mostAwaited = std::size_t(3);
constexpr auto answerTimeout = Duration(1s);

} // namespace

PeerQueries::PeerQueries(wire::MainLoop& loop, Hooks hooks)
    : loop_(loop)
    , hooks_(std::move(hooks))
    , queries_(*this)
{
}

auto PeerQueries::askNext(const std::vector<Endpoint>& peers, const Endpoint& self, std::string_view why) -> void
{
    const auto peer = choose(peers);
    if (peer != self)
        ask(peer, why);
}

auto PeerQueries::choose(const std::vector<Endpoint>& peers) -> Endpoint
{
    const auto helpful = std::exchange(helpful_, std::nullopt);
    if (helpful && std::find(peers.begin(), peers.end(), *helpful) != peers.end())
        return *helpful;
    return peers[next_++ % peers.size()];
}

auto PeerQueries::ask(const Endpoint& peer, std::string_view why) -> void
{
    if (awaited_ >= mostAwaited)
        return;
    ++awaited_;
    log::info("peer asked", { { "peer", peer.str() }, { "reason", std::string(why) } });
    queries_.add(
        query(peer)
            .exclusiveJoin(loop_.sleep(answerTimeout))
            .catch_([name = peer.str()](kj::Exception&& error) {
                log::warn("peer not reached", { { "peer", name }, { "reason", error.getDescription().cStr() } });
            })
            .then([this] { --awaited_; }));
}

auto PeerQueries::taskFailed(kj::Exception&& exception) -> void
{
    log::error("peer query failed", { { "reason", exception.getDescription().cStr() } });
}

auto PeerQueries::query(const Endpoint& peer) -> kj::Promise<void>
{
    return wire::connectTo(peer.address, peer.port).then([this, peer](kj::Own<wire::GlibStream>&& stream) {
        auto session = std::make_unique<wire::Connection>(kj::mv(stream));
        auto call = session->bootstrap().castAs<wire::schema::EntryPeer>().changesRequest();
        hooks_.fillQuery(call);
        const auto asked = loop_.timers().now();
        return call.send()
            .then([this, peer, asked](auto&& answer) {
                if (hooks_.onAnswer(answer, peer, asked))
                    helpful_ = peer;
            })
            .attach(std::move(session));
    });
}

} // namespace eelgrass::serving
