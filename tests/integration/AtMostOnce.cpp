#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

/// A deployment with two entries, a plain service whose look-ups run at most once, and an engine.
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

    auto startLookUp(
        const std::string& entry, const std::string& body, const std::string& key, const char* caller = callerKey)
    {
        return callLater(entry, "/services/catalogue/lookups", body,
            { { "Idempotency-Key", key }, { "Authorization", std::string("Bearer ") + caller } });
    }
    auto lookUp(
        const std::string& entry, const std::string& body, const std::string& key, const char* caller = callerKey)
    {
        return loop.wait(startLookUp(entry, body, key, caller));
    }
    auto runCount() -> std::size_t { return runsAt(*this, "s1").size(); }
    auto faults(const Json& faults) -> void { control(platformUrl() + "/standin/faults", faults); }
    auto claimed(const std::string& key) -> bool
    {
        return loop.wait(http.fetch({ .url = platformUrl() + "/tables/row?key=run/armor-a/" + key })).status == 200;
    }
};

const auto nonRepeatable = std::vector<std::pair<std::string, std::string>> { { "X-Eelgrass-Repeat", "never" },
    { "Idempotency-Key", "draft-1" } };
const auto draft = Json { { "model", "life" }, { "prompt", "draft" }, { "max_tokens", 1500 } };

} // namespace

// A caller sends the same look-up to two entries and must get the same answer, because two results of one look-up could
// contradict each other. The first request claims the key in the ledger and stores its answer there; the second request
// finds the answer.
BOOST_AUTO_TEST_CASE(a_repeated_request_gets_the_first_answer)
{
    auto lookups = Lookups();
    const auto first = lookups.lookUp("e1", "6205", "k1");
    BOOST_TEST(first.status == 200);
    const auto again = lookups.lookUp("e2", "6205", "k1");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(lookups.runCount() == 1U);
    const auto other = lookups.lookUp("e2", "6206", "k1");
    BOOST_TEST(other.status == 422);
    BOOST_TEST(errorOf(other)["run"] == "not_run");
    // The same key of another member is a different key.
    BOOST_TEST(lookups.lookUp("e2", "6206", "k1", rivalKey).status == 200);
    BOOST_TEST(lookups.runCount() == 2U);
}

// An operator puts another adapter version in force between two sends of the same request. The second send replays the
// first answer, which must name the version that it ran on: under the new version's name it would be taken for the new
// version's output.
BOOST_AUTO_TEST_CASE(a_replayed_answer_names_the_version_that_it_ran_on)
{
    auto lookups = Lookups();
    const auto brief = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } };
    const auto first = lookups.call("e1", "/v1/completions", brief.dump(), nonRepeatable);
    BOOST_TEST(Json::parse(first.body)["model"] == "life@2");
    BOOST_TEST(lookups.patch("e1", 1, { { "adapters", { { "life", { { "in_force", 1 } } } } } }).status == 200);
    lookups.awaitVersion("e2", 2);
    const auto again = lookups.call("e2", "/v1/completions", brief.dump(), nonRepeatable);
    BOOST_TEST(again.status == 200);
    BOOST_TEST(Json::parse(again.body)["choices"] == Json::parse(first.body)["choices"]);
    BOOST_TEST(Json::parse(again.body)["model"] == "life@2");
}

// An answer that is too large for a ledger row is stored in the object store, and must be replayed completely.
BOOST_AUTO_TEST_CASE(a_large_answer_is_replayed_completely)
{
    auto lookups = Lookups();
    const auto body = std::string(2000000, 'x');
    const auto first = lookups.lookUp("e1", body, "k1");
    BOOST_TEST(first.status == 200);
    await(lookups, [&] { return lookups.lookUp("e2", body, "k1").body == first.body; });
    BOOST_TEST(lookups.runCount() == 1U);
}

// The platform commits a claim but its reply is lost. The entry reads the row, finds its own attempt in it, and runs
// the request.
BOOST_AUTO_TEST_CASE(a_claim_whose_reply_was_lost_is_read_back)
{
    auto lookups = Lookups();
    lookups.faults({ { "lose_answers", 1 } });
    BOOST_TEST(lookups.lookUp("e1", "6205", "k1").status == 200);
    BOOST_TEST(lookups.runCount() == 1U);
}

// While the table service is down, a non-repeatable request is refused as "not run", because without the ledger a
// repeat could not be distinguished from the first send. The same key succeeds when the service is back.
BOOST_AUTO_TEST_CASE(nothing_runs_while_the_ledger_is_unavailable)
{
    auto lookups = Lookups();
    lookups.faults({ { "down", true } });
    const auto refused = lookups.lookUp("e1", "6205", "k1");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(errorOf(refused)["run"] == "not_run");
    BOOST_TEST(lookups.runCount() == 0U);
    lookups.faults({ { "down", false } });
    BOOST_TEST(lookups.lookUp("e1", "6205", "k1").status == 200);
    BOOST_TEST(lookups.runCount() == 1U);
}

// An entry dies while its look-up runs, and the caller sends the look-up to another entry. The second entry finds the
// claim and must join the running attempt instead of starting another one.
BOOST_AUTO_TEST_CASE(a_call_repeated_after_its_entry_died_joins_the_running_attempt)
{
    auto lookups = Lookups();
    auto lost = lookups.startLookUp("e1", "sleep-1500", "k1");
    await(lookups, [&] { return lookups.runCount() == 1; });
    lookups.entry("e1").signal(SIGKILL);
    const auto again = lookups.lookUp("e2", "sleep-1500", "k1");
    BOOST_TEST(again.status == 200);
    BOOST_TEST(lookups.runCount() == 1U);
}

// An entry dies while an engine generates a non-repeatable answer, and the caller sends the request to another entry.
// The target process keeps the whole output until the ledger has stored it, so the second entry gets the answer from
// its first chunk.
BOOST_AUTO_TEST_CASE(a_joined_draft_is_read_from_its_first_chunk)
{
    auto lookups = Lookups();
    auto lost = lookups.callLater("e1", "/v1/completions", draft.dump(), nonRepeatable);
    await(lookups, [&] { return startedAt(lookups, "t1").size() == 1; });
    lookups.loop.wait(lookups.loop.sleep(300ms));
    lookups.entry("e1").signal(SIGKILL);
    const auto again = lookups.call("e2", "/v1/completions", draft.dump(), nonRepeatable);
    BOOST_TEST(textOf(again) == expected("life@2#bb", "draft", 1500));
    BOOST_TEST(startedAt(lookups, "t1").size() == 1U);
}

// The same non-repeatable request is sent to two entries at the same time; both must get the whole answer of one run.
BOOST_AUTO_TEST_CASE(two_simultaneous_requests_share_one_run)
{
    auto lookups = Lookups();
    auto one = lookups.callLater("e1", "/v1/completions", draft.dump(), nonRepeatable);
    auto two = lookups.callLater("e2", "/v1/completions", draft.dump(), nonRepeatable);
    BOOST_TEST(textOf(lookups.loop.wait(kj::mv(one))) == expected("life@2#bb", "draft", 1500));
    BOOST_TEST(textOf(lookups.loop.wait(kj::mv(two))) == expected("life@2#bb", "draft", 1500));
    BOOST_TEST(startedAt(lookups, "t1").size() == 1U);
}

// An entry claims a look-up and dies while its start request is delayed in the network. The second entry revokes the
// attempt and claims the row for a new one. The delayed start request must be refused, or the look-up would run twice.
BOOST_AUTO_TEST_CASE(a_start_that_arrives_after_its_revocation_is_refused)
{
    auto lookups = Lookups({ Leg::Target });
    BOOST_TEST(lookups.lookUp("e1", "warm", "k0").status == 200);
    lookups.fault("s1", Leg::Target, { { "delay_ms", 2000 } });
    auto lost = lookups.startLookUp("e1", "6205", "k1");
    await(lookups, [&] { return lookups.claimed("k1"); });
    lookups.loop.wait(lookups.loop.sleep(200ms));
    lookups.fault("s1", Leg::Target, { { "delay_ms", 0 } });
    lookups.entry("e1").signal(SIGKILL);
    BOOST_TEST(lookups.lookUp("e2", "6205", "k1").status == 200);
    // Waits longer than the delay of the start request.
    lookups.loop.wait(lookups.loop.sleep(2500ms));
    BOOST_TEST(lookups.runCount() == 2U);
}

// A target process is replaced while its look-up runs. The new process cannot know whether the service completed the
// call, so the outcome must be reported as "unknown", also for a repeat, and the look-up must not run again.
BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_reported_and_never_rerun)
{
    auto lookups = Lookups();
    auto call = lookups.startLookUp("e1", "sleep-60000", "k1");
    await(lookups, [&] { return lookups.runCount() == 1; });
    lookups.restartTarget("s1");
    const auto lost = lookups.loop.wait(kj::mv(call));
    BOOST_TEST(lost.status == 502);
    BOOST_TEST(errorOf(lost)["run"] == "unknown");
    const auto again = lookups.lookUp("e2", "sleep-60000", "k1");
    BOOST_TEST(errorOf(again)["run"] == "unknown");
    BOOST_TEST(lookups.runCount() == 1U);
}

// A caller disconnects during its look-up and sends it again; it must get the answer of the run that is in progress.
BOOST_AUTO_TEST_CASE(a_caller_disconnect_does_not_cancel_a_non_repeatable_request)
{
    auto lookups = Lookups();
    {
        auto hungUp = lookups.startLookUp("e1", "sleep-1000", "k1");
        await(lookups, [&] { return lookups.runCount() == 1; });
    }
    BOOST_TEST(lookups.lookUp("e1", "sleep-1000", "k1").status == 200);
    BOOST_TEST(lookups.runCount() == 1U);
}
