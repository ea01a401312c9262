#include "router/Settings.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace eelgrass;
using namespace eelgrass::router;

namespace {

using Lines = std::vector<std::string>;

const auto validEntry = std::string(R"(name: e1
availability_zone: zone-1
platform: { address: 10.0.0.1, port: 4000 }
secret: a-secret-of-enough-characters
listen: { address: 10.0.0.2, port: 8080 }
operators:
  - { name: anna, key_sha256: 0000000000000000000000000000000000000000000000000000000000000000 }
body_limit_kib: 64
balancer_delay_ms: 0
metric_members: 10
log_level: DEBUG
)");

const auto validTarget = std::string(R"(name: t1
availability_zone: zone-1
platform: { address: 10.0.0.1, port: 4000 }
secret: a-secret-of-enough-characters
listen: { port: 9000 }
metrics: { port: 9001 }
target:
  kind: engine
  serves: base
  address: 127.0.0.1
  port: 8000
  slots: 8
  batch: 64
  honours_fence: false
  queue_limit: 10
)");

auto formatted(const std::vector<SettingsProblem>& problems) -> Lines
{
    auto lines = Lines();
    for (const auto& problem : problems) {
        auto text = std::ostringstream();
        text << problem;
        lines.push_back(text.str());
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

auto entryProblems(const std::string& yaml) -> Lines { return formatted(parseEntrySettings(yaml, "e.yaml").problems); }
auto targetProblems(const std::string& yaml) -> Lines
{
    return formatted(parseTargetSettings(yaml, "t.yaml").problems);
}

auto replaced(std::string text, const std::string& from, const std::string& to) -> std::string
{
    return text.replace(text.find(from), from.size(), to);
}

auto joined(const Lines& lines) -> std::string
{
    auto text = std::string();
    for (const auto& line : lines)
        text += line + "\n";
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_are_parsed)
{
    const auto entry = parseEntrySettings(validEntry, "e.yaml");
    BOOST_TEST(joined(formatted(entry.problems)).empty());
    BOOST_TEST(entry.value.listen.address == "10.0.0.2");
    BOOST_TEST(entry.value.listen.port == 8080);
    BOOST_TEST(entry.value.bodyLimitKiB == 64U);
    BOOST_TEST(entry.value.operatorsByKeyDigest.size() == 1U);
    const auto target = parseTargetSettings(validTarget, "t.yaml");
    BOOST_TEST(joined(formatted(target.problems)).empty());
    BOOST_TEST(target.value.target.port == 8000);
    BOOST_TEST(target.value.slots == 8U);
    BOOST_TEST(!target.value.honoursFence);
}

BOOST_AUTO_TEST_CASE(an_unknown_key_is_reported_with_its_line)
{
    BOOST_TEST(
        joined(entryProblems(validEntry + "balancer_delay: 3\n")) == "e.yaml:12: balancer_delay: is not a known key\n");
    BOOST_TEST(joined(targetProblems(replaced(validTarget, "slots: 8", "slot: 8")))
        == "t.yaml:12: target.slot: is not a known key\n");
}

BOOST_AUTO_TEST_CASE(a_value_of_the_wrong_type_is_reported_with_its_line)
{
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "body_limit_kib: 64", "body_limit_kib: much")))
        == "e.yaml:8: body_limit_kib: has the wrong type\n");
    BOOST_TEST(joined(targetProblems(replaced(validTarget, "honours_fence: false", "honours_fence: 7")))
        == "t.yaml:14: target.honours_fence: has the wrong type\n");
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "listen: { address: 10.0.0.2, port: 8080 }", "listen: 8080")))
        == "e.yaml:5: listen: must be a map\n");
}

BOOST_AUTO_TEST_CASE(a_value_out_of_range_is_reported_with_its_bounds)
{
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "port: 8080", "port: 70000")))
        == "e.yaml:5: listen.port: must lie between 0 and 65535\n");
    BOOST_TEST(joined(targetProblems(replaced(validTarget, "slots: 8", "slots: 0")))
        == "t.yaml:12: target.slots: must lie between 1 and 1024\n");
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "balancer_delay_ms: 0", "balancer_delay_ms: -1")))
        == "e.yaml:9: balancer_delay_ms: must lie between 0 and 60000\n");
}

BOOST_AUTO_TEST_CASE(a_missing_key_is_reported)
{
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "name: e1\n", ""))) == "e.yaml:1: name: is missing\n");
    BOOST_TEST(joined(targetProblems(replaced(validTarget, "  serves: base\n", "")))
        == "t.yaml:8: target.serves: is missing\n");
}

BOOST_AUTO_TEST_CASE(malformed_values_are_reported)
{
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "a-secret-of-enough-characters", "short")))
        == "e.yaml:4: secret: must have at least 16 characters\n");
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "DEBUG", "LOUD")))
        == "e.yaml:11: log_level: must be DEBUG, INFO, WARN or ERROR\n");
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "10.0.0.1", "platform.example")))
        == "e.yaml:3: platform.address: must be an IP address\n");
    BOOST_TEST(joined(entryProblems(replaced(validEntry, "key_sha256: 0000", "key_sha256: xyz")))
        == "e.yaml:7: operators.key_sha256: must be 64 hexadecimal digits in lower case\n");
    BOOST_TEST(joined(targetProblems(replaced(validTarget, "kind: engine", "kind: motor")))
        == "t.yaml:8: target.kind: must be engine or service\n");
    BOOST_TEST(joined(targetProblems(replaced(validTarget, "address: 127.0.0.1", "address: engine")))
        == "t.yaml:10: target.address: must be an IP address\n");
}

BOOST_AUTO_TEST_CASE(the_secret_is_never_printed)
{
    const auto problems = joined(entryProblems(replaced(validEntry, "a-secret-of-enough-characters", "hidden")));
    BOOST_TEST(problems.find("hidden") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(all_problems_are_reported_at_once)
{
    auto yaml = replaced(validEntry, "port: 4000", "port: none");
    yaml = replaced(yaml, "metric_members: 10", "metric_members: 0");
    yaml = replaced(yaml, "name: e1\n", "nam: e1\n");
    BOOST_TEST(joined(entryProblems(yaml))
        == "e.yaml:10: metric_members: must lie between 1 and 10000\n"
           "e.yaml:1: nam: is not a known key\n"
           "e.yaml:1: name: is missing\n"
           "e.yaml:3: platform.port: has the wrong type\n");
}

BOOST_AUTO_TEST_CASE(a_file_that_is_not_a_yaml_map_is_reported)
{
    BOOST_TEST(joined(entryProblems("- a\n- b\n")) == "e.yaml:1: : the file must be a map\n");
    BOOST_TEST(joined(entryProblems("")) == "e.yaml:1: : the file must be a map\n");
    const auto broken = parseEntrySettings("name: e1\nlisten: {\n", "e.yaml").problems;
    BOOST_REQUIRE(broken.size() == 1U);
    BOOST_TEST(broken[0].line >= 2);
}
