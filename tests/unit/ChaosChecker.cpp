#include "standins/EngineStandin.h"
#include "tests/chaos/Checker.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::chaos;

namespace {

auto at(int seconds) -> Moment { return Moment(std::chrono::seconds(seconds)); }

auto textOf(const std::string& model, const std::string& prompt, std::size_t tokens) -> std::string
{
    auto text = std::string();
    for (auto index = std::size_t(0); index < tokens; ++index)
        text += standins::expectedToken(model, prompt, index);
    return text;
}

auto event(const std::string& text) -> std::string { return "data: {\"choices\":[{\"text\":\"" + text + "\"}]}\n\n"; }

/// A history with nothing wrong in it; each test breaks one thing.
struct Fixture {
    History history;

    Fixture()
    {
        history.digests = { { "life", { { "1", "aa" }, { "2", "bb" } } } };
        history.calls.push_back(call());
        history.runs.push_back({ "t1-behind", "r1.1", "life@2#bb", "p1", at(1) });
    }
    static auto call() -> CallRecord
    {
        auto call = CallRecord { .number = 1, .entry = "e1", .model = "life", .prompt = "p1", .tokens = 3 };
        call.stream = true;
        call.sent = at(1);
        call.ended = at(2);
        call.status = 200;
        call.requestId = "r1";
        call.adapter = "life";
        call.version = "2";
        call.body = ": waits\n\n" + event(textOf("life@2#bb", "p1", 3)) + event("") + "data: [DONE]\n\n";
        return call;
    }
    static auto refusal(const std::string& run) -> CallRecord
    {
        auto refused = call();
        refused.status = 503;
        refused.body = R"({"error":{"type":"no_target","run":")" + run + R"(","request_id":"r1"}})";
        return refused;
    }
    [[nodiscard]] auto promises() const -> std::vector<std::string>
    {
        auto list = std::vector<std::string>();
        for (const auto& violation : check(history))
            list.push_back(violation.promise);
        return list;
    }
    auto expect(std::vector<std::string> wanted) const -> void
    {
        BOOST_TEST(promises() == wanted, boost::test_tools::per_element());
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_sound_history_passes, Fixture)
{
    auto broken = call();
    broken.body = event(textOf("life@2#bb", "p1", 1)) + "data: {\"choi";
    broken.broken = true;
    history.calls.push_back(broken);
    auto failed = call();
    failed.body = event(textOf("life@2#bb", "p1", 1)) + "event: error\ndata: {\"error\":{\"run\":\"partial\"}}\n\n";
    history.calls.push_back(failed);
    history.calls.push_back(refusal("unknown"));
    expect({});
    BOOST_TEST(outcomeOf(call()) == "whole");
    BOOST_TEST(outcomeOf(broken) == "broken");
}

BOOST_FIXTURE_TEST_CASE(another_adapter_or_version_is_found, Fixture)
{
    history.calls[0].adapter = "mode";
    expect({ "right adapter", "right version" });
    history.calls[0] = call();
    history.calls[0].model = "life@1";
    expect({ "right version" });
    history.calls[0] = call();
    history.calls[0].body = event(textOf("life@1#aa", "p1", 3)) + "data: [DONE]\n\n";
    expect({ "whole answer" });
}

BOOST_FIXTURE_TEST_CASE(short_cut_spliced_and_doubled_answers_are_found, Fixture)
{
    auto& body = history.calls[0].body;
    body = event(textOf("life@2#bb", "p1", 2)) + "data: [DONE]\n\n";
    expect({ "whole answer" });
    body = event(textOf("life@2#bb", "p1", 2));
    expect({ "whole answer" });
    body = event(textOf("life@2#bb", "p1", 1)) + event(textOf("life@2#bb", "p2", 2)) + "data: [DONE]\n\n";
    expect({ "whole answer" });
    body = event(textOf("life@2#bb", "p1", 1)) + event(textOf("life@2#bb", "p1", 3)) + "data: [DONE]\n\n";
    expect({ "whole answer" });
    body = event(textOf("life@2#bb", "p1", 3)) + "data: [DONE]\n\n" + event("more");
    expect({ "whole answer" });
}

BOOST_FIXTURE_TEST_CASE(a_false_not_run_is_found, Fixture)
{
    history.calls[0] = refusal("not_run");
    expect({ "not run" });
    history.runs.clear();
    expect({});
}

BOOST_FIXTURE_TEST_CASE(a_second_run_of_a_request_that_may_not_be_repeated_is_found, Fixture)
{
    history.runs.push_back({ "t2-behind", "r9.1", "life@2#bb", "p1", at(2) });
    expect({});
    history.calls[0].neverRepeat = true;
    expect({ "at most once" });
}

BOOST_FIXTURE_TEST_CASE(new_work_at_a_leaving_target_is_found, Fixture)
{
    history.stops.push_back({ "t1", at(10), at(20) });
    history.calls[0].sent = at(12);
    history.runs[0].at = at(15);
    expect({});
    history.calls[0].sent = at(14);
    history.calls[0].ended = at(16);
    expect({ "leaving" });
}

BOOST_FIXTURE_TEST_CASE(a_planned_stop_that_is_noticed_is_found, Fixture)
{
    history.stops.push_back({ "t1", at(10), at(11), -9 });
    expect({ "planned stop" });
    history.stops.clear();
    history.plannedOnly = true;
    expect({});
    history.calls.push_back(refusal("unknown"));
    expect({ "planned stop" });
}

BOOST_FIXTURE_TEST_CASE(a_configuration_that_reverts_is_found, Fixture)
{
    auto later = call();
    later.sent = at(3);
    later.version = "1";
    later.body = event(textOf("life@1#aa", "p1", 3)) + "data: [DONE]\n\n";
    history.calls.push_back(later);
    expect({ "configuration" });
    history.calls.back().entryLife = 1;
    expect({});
    history.statuses = { { "e1", 0, at(1), at(1), 5, true }, { "e1", 0, at(2), at(2), 4, true } };
    expect({ "configuration" });
}

BOOST_FIXTURE_TEST_CASE(a_patch_that_is_lost_late_or_merged_onto_another_is_found, Fixture)
{
    history.patches = { { "life", 3, "cc", 1, at(5), 2 } };
    expect({});
    history.statuses = { { "e1", 0, at(16), at(16), 1, true } };
    expect({ "configuration" });
    history.faults = { { "freeze_entry", "e1", at(6), at(9) } };
    expect({});
    history.statuses.clear();
    history.finalVersions = { { "e1", { { "life", { { "2", "bb" } } } } } };
    expect({ "configuration" });
    history.finalVersions.clear();
    history.patches.push_back({ "life", 4, "dd", 1, at(6), 2 });
    expect({ "configuration" });
    history.patches.back() = { "life", 4, "dd", 1, at(6), 3 };
    expect({ "configuration" });
}

BOOST_FIXTURE_TEST_CASE(evictions_crashes_trespass_and_lasting_harm_are_found, Fixture)
{
    history.unloadsInUse = { "t1-behind life@2#bb" };
    history.crashes = { "e1 ended by itself" };
    history.notRecovered = { "e2" };
    history.calls[0].trespass = true;
    expect({ "isolation", "eviction", "process", "recovery" });
}
