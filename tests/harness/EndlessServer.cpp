#include "tests/harness/EndlessServer.h"

#include "platform/Names.h"
#include "tests/harness/ReplicaEntry.h"

#include <algorithm>
#include <utility>

namespace eelgrass::tests {

namespace {

auto attemptOf(const std::string& head) -> std::string
{
    const auto name = "\r\n" + std::string(hosting::names::attemptId) + ": ";
    const auto at = head.find(name);
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

EndlessServer::EndlessServer(Bytes bytes, const std::string& address)
    : bytes_(std::move(bytes))
    , address_(address)
    , listener_(address, 0, [this](wire::ObjectPtr<GSocket> socket) { accept(std::move(socket)); })
{
    constexpr auto writeSize = std::size_t(64) << 10U;
    const auto unit = bytes_.repeated;
    while (!unit.empty() && bytes_.repeated.size() < writeSize)
        bytes_.repeated += unit;
}

auto EndlessServer::entry(const std::string& service) const -> std::string { return replicaEntry(service, endpoint()); }

auto EndlessServer::accept(wire::ObjectPtr<GSocket> socket) -> void
{
    auto& peer = peers_.emplace_back(Peer { std::make_unique<wire::TcpConnection>(std::move(socket)) });
    peer.connection->setHandlers({ .onData = [this, &peer] { received(peer); },
        .onEnd = [&peer](wire::StreamEnd) { peer.ended = true; },
        .onDrained = [this, &peer] { pour(peer); } });
    peer.connection->start();
}

auto EndlessServer::received(Peer& peer) -> void
{
    if (peer.asked || peer.connection->input().find("\r\n\r\n") == std::string::npos)
        return;
    peer.asked = true;
    peer.attempt = attemptOf(peer.connection->input());
    ++requests_;
    if (!held_)
        pour(peer);
}

auto EndlessServer::release() -> void
{
    held_ = false;
    for (auto& peer : peers_) {
        if (peer.asked)
            pour(peer);
    }
}

auto EndlessServer::pour(Peer& peer) -> void
{
    // Writing calls back when all is written.
    if (std::exchange(peer.pouring, true))
        return;
    const auto write = [&](const std::string& text) {
        peer.written += text.size();
        peer.connection->write(text);
    };
    if (peer.written == 0) {
        constexpr auto mark = std::string_view("ATTEMPT");
        auto opening = bytes_.opening;
        if (const auto at = opening.find(mark); at != std::string::npos)
            opening.replace(at, mark.size(), peer.attempt);
        write(opening);
    }
    while (!peer.ended && !bytes_.repeated.empty() && peer.connection->backlog() == 0 && sent() < maxBytes) {
        write(bytes_.repeated);
        // A write to a caller that has closed fails without a word; the reading side tells the end.
        peer.connection->start();
    }
    peer.pouring = false;
}

auto EndlessServer::open() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [](const Peer& peer) { return peer.written > 0 && !peer.ended; }));
}

auto EndlessServer::sent() const -> std::size_t
{
    auto sum = std::size_t(0);
    for (const auto& peer : peers_)
        sum += peer.written - std::min(peer.written, peer.connection->backlog());
    return sum;
}

} // namespace eelgrass::tests
