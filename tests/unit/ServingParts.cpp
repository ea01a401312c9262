#include "serving/EventSplitter.h"
#include "serving/RouteTable.h"
#include "serving/Settings.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::serving;

namespace {

auto configuration() -> ServingConfiguration
{
    auto made = ServingConfiguration();
    for (const auto* prefix : { "/", "/a/", "/a/b/" }) {
        auto route = RouteRecord { .name = RouteName(prefix), .host = "h", .prefix = prefix };
        route.shares = { { ServiceName("s"), 90 }, { ServiceName("t"), 10 } };
        made.routes.push_back(route);
    }
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(longest_matching_prefix_selects_the_route)
{
    const auto made = configuration();
    const auto table = RouteTable(made);
    BOOST_TEST(table.find("h", "/a/b/c")->name.str() == "/a/b/");
    BOOST_TEST(table.find("h:80", "/a/bc")->name.str() == "/a/");
    BOOST_TEST(table.find("h", "/x")->name.str() == "/");
    BOOST_TEST(!table.find("other", "/a/b/c"));
    BOOST_TEST(!table.find("h", ""));
}

BOOST_AUTO_TEST_CASE(service_choice_follows_weights_and_is_stable_per_attempt)
{
    const auto made = configuration();
    auto first = 0;
    for (auto count = 0; count < 1000; ++count) {
        const auto attempt = AttemptId("attempt-" + std::to_string(count));
        const auto& service = pickService(made.routes[0], attempt);
        BOOST_TEST(service.str() == pickService(made.routes[0], attempt).str());
        first += service.str() == "s" ? 1 : 0;
    }
    BOOST_TEST(first > 860);
    BOOST_TEST(first < 940);
}

BOOST_AUTO_TEST_CASE(events_are_complete_for_every_split_of_the_bytes)
{
    const auto text = std::string("id: 1\ndata: a\n\nx: 2\nid:2\r\ndata: b\r\n\r\nid: 3\nda");
    for (auto cut = std::size_t(0); cut <= text.size(); ++cut) {
        auto splitter = EventSplitter();
        auto events = splitter.feed(text.substr(0, cut));
        for (auto& event : splitter.feed(text.substr(cut)))
            events.push_back(std::move(event));
        BOOST_REQUIRE(events.size() == 2U);
        BOOST_TEST(events[0].id.value() == 1U);
        BOOST_TEST(events[1].id.value() == 2U);
        BOOST_TEST(splitter.incomplete() == "id: 3\nda");
    }
}

BOOST_AUTO_TEST_CASE(settings_report_every_problem_with_its_line)
{
    const auto checked = parseGatewaySettings(
        "name: g\navailability_zone: z\nstore: nowhere\nseeds: [\"1.2.3.4:5\"]\nwrong: 1\n", "f.yaml");
    auto keys = std::string();
    for (const auto& problem : checked.problems)
        keys += problem.key + "@" + std::to_string(problem.line) + " ";
    BOOST_TEST(keys.find("store@3") != std::string::npos);
    BOOST_TEST(keys.find("wrong@5") != std::string::npos);
    BOOST_TEST(keys.find("clients@") != std::string::npos);
    BOOST_TEST(keys.find("agent_port@") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(valid_settings_are_accepted)
{
    const auto checked = parseAgentSettings("name: a\navailability_zone: z\naddress: 10.0.0.1\nstore: \"10.0.0.9:80\"\n"
                                            "replica: \"10.0.0.1:9\"\nservice: s\nagent_port: 7000\n",
        "f.yaml");
    BOOST_TEST(checked.ok());
    BOOST_TEST(checked.value.replica.port == 9);
    BOOST_TEST(checked.value.host.store.str() == "10.0.0.9:80");
}
