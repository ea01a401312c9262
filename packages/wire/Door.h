#pragma once

#include "wire/GatheredStream.h"
#include "wire/GlibStream.h"
#include "wire/generated/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>

#include <functional>
#include <string>

namespace eelgrass::wire {

/// The answer to a challenge: proves that a side holds the secret without sending it.
[[nodiscard]] auto doorProof(const std::string& secret, std::string_view side, std::string_view callerNonce,
    std::string_view doorNonce) -> std::string;

/// One connection of Cap'n Proto RPC; whichever side it is on, it closes with this object.
class Connection {
public:
    /// The accepting side, which offers `bootstrap`.
    Connection(kj::Own<GlibStream> stream, capnp::Capability::Client bootstrap);
    /// The connecting side.
    explicit Connection(kj::Own<GlibStream> stream);

    [[nodiscard]] auto bootstrap() -> capnp::Capability::Client;
    [[nodiscard]] auto closed() -> kj::Promise<void> { return network_.onDisconnect(); }
    [[nodiscard]] auto peer() const -> const std::string& { return stream_->peer(); }
    /// When bytes last came from the other side.
    [[nodiscard]] auto heardAt() const noexcept -> Moment { return stream_->heardAt(); }

private:
    kj::Own<GlibStream> stream_;
    GatheredStream gathered_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

/// Guards the sessions of a target process: a stranger reaches nothing but the challenge.
class Door final : public schema::Door::Server {
public:
    using Admit = std::function<schema::TargetSession::Client(std::string name, schema::EntryListener::Client)>;

    Door(std::string secret, Admit admit);

    auto challenge(ChallengeContext context) -> kj::Promise<void> override;
    auto enter(EnterContext context) -> kj::Promise<void> override;

private:
    std::string secret_;
    Admit admit_;
    std::string callerNonce_;
    std::string doorNonce_;
};

/// Proves the secret to a door, checks the door's own proof, and returns the session behind it.
auto enterDoor(schema::Door::Client door, std::string secret, std::string name, schema::EntryListener::Client listener)
    -> kj::Promise<schema::TargetSession::Client>;

} // namespace eelgrass::wire
