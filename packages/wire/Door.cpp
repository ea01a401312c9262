#include "wire/Door.h"

#include "base/Secrets.h"

#include <capnp/message.h>

#include <utility>

namespace eelgrass::wire {

namespace {

constexpr auto nonceBytes = std::size_t(16);

auto textOf(capnp::Data::Reader data) -> std::string
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}

auto dataOf(const std::string& text) -> capnp::Data::Reader
{
    return { reinterpret_cast<const kj::byte*>(text.data()), text.size() };
}

// A message of a peer is at most this large; a stranger cannot make the process hold more.
auto readerOptions() -> capnp::ReaderOptions
{
    constexpr auto messageWords = std::uint64_t(4) << 20U;
    constexpr auto nesting = 32;
    return { .traversalLimitInWords = messageWords, .nestingLimit = nesting };
}

} // namespace

auto doorProof(const std::string& secret, std::string_view side, std::string_view callerNonce,
    std::string_view doorNonce) -> std::string
{
    auto text = std::string(side);
    text.append("|").append(callerNonce).append("|").append(doorNonce);
    return hmacHex(secret, text);
}

Connection::Connection(kj::Own<GlibStream> stream, capnp::Capability::Client bootstrap)
    : stream_(kj::mv(stream))
    , gathered_(*stream_)
    , network_(gathered_, capnp::rpc::twoparty::Side::SERVER, readerOptions())
    , rpc_(capnp::makeRpcServer(network_, kj::mv(bootstrap)))
{
}

Connection::Connection(kj::Own<GlibStream> stream)
    : stream_(kj::mv(stream))
    , gathered_(*stream_)
    , network_(gathered_, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
    , rpc_(capnp::makeRpcClient(network_))
{
}

auto Connection::bootstrap() -> capnp::Capability::Client
{
    auto message = capnp::MallocMessageBuilder();
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc_.bootstrap(vat);
}

Door::Door(std::string secret, Admit admit)
    : secret_(std::move(secret))
    , admit_(std::move(admit))
{
}

auto Door::challenge(ChallengeContext context) -> kj::Promise<void>
{
    callerNonce_ = textOf(context.getParams().getCallerNonce());
    KJ_REQUIRE(callerNonce_.size() == 2 * nonceBytes, "a nonce of the wrong size");
    doorNonce_ = randomHex(nonceBytes);
    auto results = context.getResults();
    results.setDoorNonce(dataOf(doorNonce_));
    results.setDoorProof(dataOf(doorProof(secret_, "door", callerNonce_, doorNonce_)));
    return kj::READY_NOW;
}

auto Door::enter(EnterContext context) -> kj::Promise<void>
{
    auto params = context.getParams();
    // One nonce serves one attempt: a recorded proof opens nothing.
    auto nonce = std::exchange(doorNonce_, {});
    KJ_REQUIRE(!nonce.empty(), "enter without a challenge");
    auto expected = doorProof(secret_, "caller", callerNonce_, nonce);
    KJ_REQUIRE(equalConstantTime(expected, textOf(params.getCallerProof())), "the caller does not hold the secret");
    context.getResults().setSession(admit_(params.getCallerName(), params.getListener()));
    return kj::READY_NOW;
}

auto enterDoor(schema::Door::Client door, std::string secret, std::string name, schema::EntryListener::Client listener)
    -> kj::Promise<schema::TargetSession::Client>
{
    auto callerNonce = randomHex(nonceBytes);
    auto request = door.challengeRequest();
    request.setCallerNonce(dataOf(callerNonce));
    return request.send().then([=, door = kj::mv(door), listener = kj::mv(listener)](
                                   capnp::Response<schema::Door::ChallengeResults> answer) mutable
        -> kj::Promise<schema::TargetSession::Client> {
        auto doorNonce = textOf(answer.getDoorNonce());
        auto expected = doorProof(secret, "door", callerNonce, doorNonce);
        KJ_REQUIRE(equalConstantTime(expected, textOf(answer.getDoorProof())), "the door does not hold the secret");
        auto enter = door.enterRequest();
        enter.setCallerProof(dataOf(doorProof(secret, "caller", callerNonce, doorNonce)));
        enter.setCallerName(name);
        enter.setListener(kj::mv(listener));
        return enter.send().then([](auto&& entered) { return entered.getSession(); });
    });
}

} // namespace eelgrass::wire
