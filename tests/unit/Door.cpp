#include "wire/Door.h"
#include "tests/harness/StreamPair.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

constexpr auto secret = "a-secret-of-the-fleet";

class NoSession final : public wire::schema::TargetSession::Server { };
class NoListener final : public wire::schema::EntryListener::Server { };

auto bytes(const std::string& text) -> capnp::Data::Reader
{
    return { reinterpret_cast<const kj::byte*>(text.data()), text.size() };
}

struct Fixture {
    wire::MainLoop loop;
    StreamPair pair;
    std::vector<std::string> admitted;
    wire::Connection server { kj::mv(pair.far),
        kj::heap<wire::Door>(secret, [this](std::string name, wire::schema::EntryListener::Client) {
            admitted.push_back(name);
            return wire::schema::TargetSession::Client(kj::heap<NoSession>());
        }) };
    wire::Connection client { kj::mv(pair.near) };
    wire::schema::Door::Client door = client.bootstrap().castAs<wire::schema::Door>();

    auto enter(const std::string& with) -> kj::Promise<wire::schema::TargetSession::Client>
    {
        return wire::enterDoor(door, with, "e1", kj::heap<NoListener>());
    }
    auto challenge(const std::string& nonce) -> std::string
    {
        auto request = door.challengeRequest();
        request.setCallerNonce(bytes(nonce));
        const auto answer
            = loop.wait(kj::Promise<capnp::Response<wire::schema::Door::ChallengeResults>>(request.send()));
        return { reinterpret_cast<const char*>(answer.getDoorNonce().begin()), answer.getDoorNonce().size() };
    }
    auto prove(const std::string& proof) -> kj::Promise<void>
    {
        auto request = door.enterRequest();
        request.setCallerProof(bytes(proof));
        request.setCallerName("stranger");
        request.setListener(kj::heap<NoListener>());
        return request.send().ignoreResult();
    }
    auto refused(kj::Promise<void> promise) -> bool
    {
        failureOf(loop, kj::mv(promise));
        return admitted.empty();
    }
};

const auto nonce = std::string(32, 'n');

} // namespace

BOOST_FIXTURE_TEST_CASE(who_holds_the_secret_is_admitted_by_name, Fixture)
{
    loop.wait(enter(secret).ignoreResult());
    BOOST_TEST(admitted == std::vector<std::string> { "e1" }, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(another_secret_sees_that_the_door_is_a_strangers_and_does_not_prove_itself, Fixture)
{
    BOOST_TEST(refused(enter("another-secret").ignoreResult()));
}

BOOST_FIXTURE_TEST_CASE(entering_without_a_challenge_is_refused, Fixture)
{
    BOOST_TEST(refused(prove(wire::doorProof(secret, "caller", "", ""))));
}

BOOST_FIXTURE_TEST_CASE(a_wrong_proof_is_refused_and_uses_its_challenge_up, Fixture)
{
    const auto good = wire::doorProof(secret, "caller", nonce, challenge(nonce));
    BOOST_TEST(refused(prove("wrong")));
    BOOST_TEST(refused(prove(good)));
}

BOOST_FIXTURE_TEST_CASE(a_recorded_proof_opens_nothing, Fixture)
{
    const auto recorded = wire::doorProof(secret, "caller", nonce, challenge(nonce));
    loop.wait(prove(recorded));
    admitted.clear();
    BOOST_TEST(refused(prove(recorded)));
    challenge(nonce);
    BOOST_TEST(refused(prove(recorded)));
}

BOOST_FIXTURE_TEST_CASE(the_doors_own_proof_does_not_serve_as_a_callers, Fixture)
{
    BOOST_TEST(refused(prove(wire::doorProof(secret, "door", nonce, challenge(nonce)))));
}

BOOST_FIXTURE_TEST_CASE(a_nonce_of_the_wrong_size_is_refused, Fixture)
{
    auto request = door.challengeRequest();
    request.setCallerNonce(bytes("short"));
    BOOST_TEST(refused(request.send().ignoreResult()));
}
