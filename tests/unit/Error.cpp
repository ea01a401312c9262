#include "base/Error.h"
#include "base/Clock.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace eelgrass;

BOOST_AUTO_TEST_CASE(an_error_says_step_reason_peer_and_whether_it_ran)
{
    auto text = std::stringstream();
    text << Error(Step::Relay, 502, "target_lost", "gone").at("t1").run(RunState::Partial);
    BOOST_TEST(text.str() == "relay: gone (target_lost, peer t1, partial)");
}

// A caller gets a refusal with an empty type and message.
// The relay changes one field of an error that it holds and assigns the outcome to the same variable.
// A string that is moved onto itself comes out empty, so the change must give a new value.
BOOST_AUTO_TEST_CASE(an_error_assigned_to_itself_keeps_its_text)
{
    const auto longType = std::string(40, 't');
    auto error = Error(Step::Relay, 502, longType, "the target was lost during the answer").at("t1");
    error = std::move(error).run(RunState::Partial);
    error = std::move(error).retryAfter(1s);
    BOOST_TEST(error.type() == longType);
    BOOST_TEST(error.message() == "the target was lost during the answer");
    BOOST_TEST(error.peer() == "t1");
    BOOST_TEST((error.run() == RunState::Partial));
}
