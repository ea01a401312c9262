#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

/// Two entries, a plain service whose look-ups run at most once, and an engine.
class Lookups : public Deployment {
public:
    explicit Lookups(std::set<Leg> proxied = {})
        : Deployment(std::move(proxied))
    {
        addServiceTarget("s1", "catalogue");
        addEngineTarget("t1");
        addEntry("e1");
        addEntry("e2");
        configure({ "e1", "e2" }, { { "services", { { "catalogue", { { "allow", { "armor-a", "armor-b" } } } } } } });
    }

    auto lookUpLater(
        const std::string& entry, const std::string& body, const std::string& key, const char* caller = callerKey)
    {
        return callLater(entry, "/services/catalogue/lookups", body,
            { { "Idempotency-Key", key }, { "Authorization", std::string("Bearer ") + caller } });
    }
    auto lookUp(
        const std::string& entry, const std::string& body, const std::string& key, const char* caller = callerKey)
    {
        return loop.wait(lookUpLater(entry, body, key, caller));
    }
    auto runs() -> std::size_t { return runsAt(*this, "s1").size(); }
    auto faults(const Json& faults) -> void { control(platformUrl() + "/standin/faults", faults); }
    auto claimed(const std::string& key) -> bool
    {
        return loop.wait(http.fetch({ .url = platformUrl() + "/tables/row?key=run/armor-a/" + key })).status == 200;
    }
};

const auto never = std::vector<std::pair<std::string, std::string>> { { "X-Eelgrass-Repeat", "never" },
    { "Idempotency-Key", "draft-1" } };
const auto draft = Json { { "model", "life" }, { "prompt", "draft" }, { "max_tokens", 1500 } };

} // namespace

// The caller sends the same look-up twice, at two entries, and gets the same answer both times.
// The first send claims the key in the ledger and runs; its answer is kept there.
// The second finds the answer: two figures for one look-up would contradict one another.
BOOST_AUTO_TEST_CASE(a_request_sent_again_gets_the_first_answer)
{
    auto lookups = Lookups();
    const auto first = lookups.lookUp("e1", "6205", "k1");
    BOOST_TEST(first.status == 200);
    const auto again = lookups.lookUp("e2", "6205", "k1");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(lookups.runs() == 1U);
    const auto other = lookups.lookUp("e2", "6206", "k1");
    BOOST_TEST(other.status == 422);
    BOOST_TEST(errorOf(other)["run"] == "not_run");
    // Another member's key of the same text is another key.
    BOOST_TEST(lookups.lookUp("e2", "6206", "k1", rivalKey).status == 200);
    BOOST_TEST(lookups.runs() == 2U);
}

// The caller sends a draft, an operator puts another version in force, and the caller sends the draft again.
// The answer is that of the first send, so it must be told under the version that it ran on, not under the new one:
// a joined or replayed answer that names another version would pass for that version's work.
BOOST_AUTO_TEST_CASE(an_answer_given_again_names_the_version_that_it_ran_on)
{
    auto lookups = Lookups();
    const auto brief = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } };
    const auto first = lookups.call("e1", "/v1/completions", brief.dump(), never);
    BOOST_TEST(Json::parse(first.body)["model"] == "life@2");
    BOOST_TEST(lookups.patch("e1", 1, { { "adapters", { { "life", { { "in_force", 1 } } } } } }).status == 200);
    lookups.awaitVersion("e2", 2);
    const auto again = lookups.call("e2", "/v1/completions", brief.dump(), never);
    BOOST_TEST(again.status == 200);
    BOOST_TEST(Json::parse(again.body)["choices"] == Json::parse(first.body)["choices"]);
    BOOST_TEST(Json::parse(again.body)["model"] == "life@2");
}

// The caller gets a large answer again, whole, after it sends its request again.
// The answer is too large for a row and lies in the object store.
BOOST_AUTO_TEST_CASE(a_large_answer_is_kept_whole)
{
    auto lookups = Lookups();
    const auto body = std::string(2000000, 'x');
    const auto first = lookups.lookUp("e1", body, "k1");
    BOOST_TEST(first.status == 200);
    await(lookups, [&] { return lookups.lookUp("e2", body, "k1").body == first.body; });
    BOOST_TEST(lookups.runs() == 1U);
}

// The caller gets its answer although the platform's answer to the claim was lost.
// The write took effect; the entry reads the row back and finds its own attempt in it.
BOOST_AUTO_TEST_CASE(a_claim_whose_answer_was_lost_is_settled_by_reading)
{
    auto lookups = Lookups();
    lookups.faults({ { "lose_answers", 1 } });
    BOOST_TEST(lookups.lookUp("e1", "6205", "k1").status == 200);
    BOOST_TEST(lookups.runs() == 1U);
}

// The caller is refused at once as "not run" while the table service is down, and succeeds with the same key later.
// Without the ledger nothing could tell a second send from the first, so nothing is sent.
BOOST_AUTO_TEST_CASE(without_the_ledger_nothing_is_run)
{
    auto lookups = Lookups();
    lookups.faults({ { "down", true } });
    const auto refused = lookups.lookUp("e1", "6205", "k1");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(errorOf(refused)["run"] == "not_run");
    BOOST_TEST(lookups.runs() == 0U);
    lookups.faults({ { "down", false } });
    BOOST_TEST(lookups.lookUp("e1", "6205", "k1").status == 200);
    BOOST_TEST(lookups.runs() == 1U);
}

// The caller's entry dies while its look-up runs; sent again at another entry, the look-up is answered.
// The second entry finds the claim, and joins the attempt at the target instead of starting one.
BOOST_AUTO_TEST_CASE(a_call_sent_again_after_its_entry_died_joins_the_running_attempt)
{
    auto lookups = Lookups();
    auto lost = lookups.lookUpLater("e1", "sleep-1500", "k1");
    await(lookups, [&] { return lookups.runs() == 1; });
    lookups.entry("e1").signal(SIGKILL);
    const auto again = lookups.lookUp("e2", "sleep-1500", "k1");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(lookups.runs() == 1U);
}

// The same for a draft of an engine: what was generated before the second send is not lost.
// The target process keeps the whole output until the ledger has it, so the joiner reads from the first chunk.
BOOST_AUTO_TEST_CASE(a_draft_that_is_joined_is_read_from_its_beginning)
{
    auto lookups = Lookups();
    auto lost = lookups.callLater("e1", "/v1/completions", draft.dump(), never);
    await(lookups, [&] { return startedAt(lookups, "t1").size() == 1; });
    lookups.loop.wait(lookups.loop.sleep(300ms));
    lookups.entry("e1").signal(SIGKILL);
    const auto again = lookups.call("e2", "/v1/completions", draft.dump(), never);
    BOOST_TEST(textOf(again) == expected("life@2#bb", "draft", 1500));
    BOOST_TEST(startedAt(lookups, "t1").size() == 1U);
}

// Two sends of one draft at two entries at the same time both get the whole answer of one run.
BOOST_AUTO_TEST_CASE(two_sends_at_once_share_one_run)
{
    auto lookups = Lookups();
    auto one = lookups.callLater("e1", "/v1/completions", draft.dump(), never);
    auto two = lookups.callLater("e2", "/v1/completions", draft.dump(), never);
    BOOST_TEST(textOf(lookups.loop.wait(kj::mv(one))) == expected("life@2#bb", "draft", 1500));
    BOOST_TEST(textOf(lookups.loop.wait(kj::mv(two))) == expected("life@2#bb", "draft", 1500));
    BOOST_TEST(startedAt(lookups, "t1").size() == 1U);
}

// The caller's entry dies after it claimed the look-up and before its start reached the target; sent again, it runs.
// The start lies in the network and arrives late. The second entry revokes the attempt first, the row passes to a new
// attempt, and the late start finds the revocation: one run, not two.
BOOST_AUTO_TEST_CASE(a_start_that_arrives_after_its_revocation_is_refused)
{
    auto lookups = Lookups({ Leg::Target });
    BOOST_TEST(lookups.lookUp("e1", "warm", "k0").status == 200);
    lookups.fault("s1", Leg::Target, { { "delay_ms", 2000 } });
    auto lost = lookups.lookUpLater("e1", "6205", "k1");
    await(lookups, [&] { return lookups.claimed("k1"); });
    lookups.loop.wait(lookups.loop.sleep(200ms));
    lookups.fault("s1", Leg::Target, { { "delay_ms", 0 } });
    lookups.entry("e1").signal(SIGKILL);
    BOOST_TEST(lookups.lookUp("e2", "6205", "k1").status == 200);
    // The late start comes within the delay that it was given.
    lookups.loop.wait(lookups.loop.sleep(2500ms));
    BOOST_TEST(lookups.runs() == 2U);
}

// The caller's look-up is under way when its target process is replaced; it hears "unknown", and so does its next send.
// The newcomer cannot tell whether its predecessor's call to the service took effect, so nobody runs it again.
BOOST_AUTO_TEST_CASE(an_outcome_that_nobody_knows_is_unknown_and_never_run_again)
{
    auto lookups = Lookups();
    auto call = lookups.lookUpLater("e1", "sleep-60000", "k1");
    await(lookups, [&] { return lookups.runs() == 1; });
    lookups.restartTarget("s1");
    const auto lost = lookups.loop.wait(kj::mv(call));
    BOOST_TEST(lost.status == 502);
    BOOST_TEST(errorOf(lost)["run"] == "unknown");
    const auto again = lookups.lookUp("e2", "sleep-60000", "k1");
    BOOST_TEST(errorOf(again)["run"] == "unknown");
    BOOST_TEST(lookups.runs() == 1U);
}

// The caller hangs up during its look-up and asks again: it gets the answer of the run that it had begun.
BOOST_AUTO_TEST_CASE(a_hang_up_does_not_end_what_may_run_only_once)
{
    auto lookups = Lookups();
    {
        auto hungUp = lookups.lookUpLater("e1", "sleep-1000", "k1");
        await(lookups, [&] { return lookups.runs() == 1; });
    }
    BOOST_TEST(lookups.lookUp("e1", "sleep-1000", "k1").status == 200);
    BOOST_TEST(lookups.runs() == 1U);
}
