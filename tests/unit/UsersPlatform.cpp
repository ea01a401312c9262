#include "platform/Documents.h"
#include "platform/Names.h"
#include "platform/RequestHeaders.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::hosting;

namespace {

auto request() -> wire::HttpRequestMessage
{
    auto message = wire::HttpRequestMessage { .method = "POST", .target = "/x" };
    message.fields.add("Host", "h");
    message.fields.add(names::attemptId, "abc");
    message.fields.add(names::model, "base/a7");
    message.fields.add(names::tokenCount, "1460,80");
    message.fields.add(names::promptPrefix, "5c:800,91:410,e4:250");
    message.fields.add(names::deadline, "4000");
    return message;
}

template <typename T> auto failed(const std::function<Result<T>()>& read) -> bool
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(read());
            return false;
        },
        [](const Error&) { return true; });
}

} // namespace

BOOST_AUTO_TEST_CASE(a_requests_headers_become_facts)
{
    const auto facts = readRequestMetadata(request());
    BOOST_REQUIRE(facts);
    BOOST_TEST(facts->attempt.str() == "abc");
    BOOST_TEST(facts->model.str() == "base");
    BOOST_TEST(facts->adapter.str() == "a7");
    BOOST_TEST(facts->promptTokens == 1460U);
    BOOST_TEST(facts->outputTokens == 80U);
    BOOST_TEST(facts->prompt.size() == 3U);
    BOOST_TEST(facts->prompt[1].tokens == 410U);
    BOOST_TEST(facts->deadline->count() == 4000);
}

BOOST_AUTO_TEST_CASE(a_request_without_its_id_has_no_facts)
{
    auto message = request();
    message.fields.remove(names::attemptId);
    BOOST_TEST(!readRequestMetadata(message).has_value());
}

BOOST_AUTO_TEST_CASE(a_forwarded_request_keeps_the_clients_words_and_gets_ours)
{
    auto message = request();
    message.fields.add("Kv-From", "1.2.3.4:5/h");
    message.fields.add("Connection", "close");
    const auto fields = forwardedFields(message,
        { .instance = serving::InstanceId("i-1"),
            .version = AdapterVersion(3),
            .timeLeft = std::chrono::milliseconds(900) });
    BOOST_TEST(fields.get(names::attemptId) == "abc");
    BOOST_TEST(fields.get(names::promptPrefix) == "5c:800,91:410,e4:250");
    BOOST_TEST(fields.get(names::deadline) == "900");
    BOOST_TEST(fields.get(names::expectInstance) == "i-1");
    BOOST_TEST(fields.get(names::expectVersion) == "3");
    BOOST_TEST(fields.count("Kv-From") == 0U);
    BOOST_TEST(fields.count("Connection") == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_to_somebody_else_is_foreign)
{
    auto head = wire::HttpResponseHead { .status = 200 };
    head.fields.add(names::attemptId, "other");
    BOOST_TEST(readAnswerMetadata(head, AttemptId("abc")).forOtherAttempt);
    head.fields.set(names::attemptId, "abc");
    BOOST_TEST(!readAnswerMetadata(head, AttemptId("abc")).forOtherAttempt);
    // A success that names nobody may be an extra answer; a refusal may come without a name.
    BOOST_TEST(readAnswerMetadata({ .status = 200 }, AttemptId("abc")).forOtherAttempt);
    BOOST_TEST(!readAnswerMetadata({ .status = 421 }, AttemptId("abc")).forOtherAttempt);
    BOOST_TEST(readAnswerMetadata({ .status = 421 }, AttemptId("abc")).notRun);
}

BOOST_AUTO_TEST_CASE(when_to_come_back_keeps_its_fractions)
{
    const auto fields = ownFields(AttemptId("abc"), std::chrono::milliseconds(250));
    BOOST_TEST(fields.get(names::retryAfter) == "0.250");
}

BOOST_AUTO_TEST_CASE(a_configuration_is_read_and_unknown_fields_are_ignored)
{
    const auto read = orElse(
        []() -> Result<serving::ServingConfiguration> {
            return readConfiguration(
                R"({"version":7,"new":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"stream",
            "timeoutMs":6000,"targetLatencyMs":1000,"priority":1,"maxAttempts":2,"resumable":true,"gapAimMs":300,
            "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
            "services":[{"name":"s","healthPath":"/hp","maxConns":370,"engine":{"slots":64,"kvCapacity":1000,
            "adapterSlots":7,"models":[{"name":"m"}],"loadsPerS":2.1}}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
        },
        [](const Error& error) -> serving::ServingConfiguration {
            BOOST_FAIL(error.message());
            return {};
        });
    BOOST_TEST(read.version.value() == 7U);
    BOOST_REQUIRE(read.routes.size() == 1U);
    BOOST_TEST(read.routes[0].repeatable());
    BOOST_TEST(read.routes[0].shares[1].weight == 10U);
    BOOST_TEST(read.services.at(serving::ServiceName("s")).engine->adapterSlots == 7U);
    BOOST_TEST(read.limits.http.bodyBytes == 100U);
}

BOOST_AUTO_TEST_CASE(what_is_no_document_is_an_error_and_no_crash)
{
    BOOST_TEST(failed<serving::ServingConfiguration>([] { return readConfiguration("{"); }));
    BOOST_TEST(failed<serving::ServingConfiguration>([] { return readConfiguration(R"({"version":"x"})"); }));
    BOOST_TEST(failed<serving::ReplicaRecord>([] { return readReplica("i", "[]"); }));
    BOOST_TEST(failed<ReplicaReport>([] { return readReport("garbage"); }));
    BOOST_TEST(failed<NamedVersion>([] { return readVersion("{}"); }));
}

BOOST_AUTO_TEST_CASE(a_report_tells_what_is_there_and_what_comes)
{
    const auto report = orElse(
        []() -> Result<ReplicaReport> {
            return readReport(R"({"models":[{"name":"m","version":1,"adapters":["a1@2","a9"]}],"busy":true,"sequence":5,
            "coming":["m/a3@1"]})");
        },
        [](const Error&) { return ReplicaReport(); });
    BOOST_TEST(report.hasModel);
    BOOST_TEST(report.sequence == 5U);
    BOOST_TEST(report.resident.at(AdapterId("a1")).value() == 2U);
    BOOST_TEST(report.resident.at(AdapterId("a9")).value() == 1U);
    BOOST_REQUIRE(report.coming.size() == 1U);
    BOOST_TEST(report.coming[0].str() == "a3");
}

namespace {

auto entryWith(const std::string& name, const std::string& value) -> std::string
{
    auto fields = std::map<std::string, std::string> { { "service", R"("s")" }, { "address", R"("10.0.0.1:80")" },
        { "zone", R"("z")" }, { "state", R"("ready")" }, { "slots", "24" }, { "models", "[]" },
        { "born", "1700000000000" } };
    fields[name] = value;
    auto text = std::string();
    for (const auto& [field, content] : fields) {
        if (!content.empty())
            text.append(text.empty() ? "{\"" : ",\"").append(field).append("\":").append(content);
    }
    return text + "}";
}

auto unreadable(const std::string& name, const std::string& value) -> bool
{
    return failed<serving::ReplicaRecord>([&] { return readReplica("i", entryWith(name, value)); });
}

} // namespace

BOOST_AUTO_TEST_CASE(an_entry_of_a_replica_tells_its_start)
{
    BOOST_TEST(!unreadable("zone", R"("z")"));
    BOOST_TEST(!unreadable("more", R"({"new":[1]})"));
    // Written before replicas told their birth.
    BOOST_TEST(!unreadable("born", ""));
}

// Another writer's entry, read as far as it goes, would be a replica with four thousand million places, or one at no
// address, to which requests are sent and lost.
BOOST_AUTO_TEST_CASE(an_entry_with_missing_or_other_fields_is_no_replica)
{
    for (const auto* name : { "service", "address", "zone", "state", "slots" }) {
        for (const auto* value : { "", "null", "[]", "{}", "-1", "1.5", "true", R"("")" }) {
            const auto allowed = std::string_view(value) == R"("")"
                && (std::string_view(name) == "service" || std::string_view(name) == "zone");
            BOOST_TEST(unreadable(name, value) == !allowed, name << " = " << value);
        }
    }
    for (const auto* value : { "-1", "1.5", "true", R"("1700000000000")", "[]" })
        BOOST_TEST(unreadable("born", value), value);
    BOOST_TEST(unreadable("slots", "4294967297"));
    BOOST_TEST(unreadable("state", R"("resting")"));
    BOOST_TEST(unreadable("address", R"("somewhere")"));
    BOOST_TEST(unreadable("address", R"("host.example:80")"));
    BOOST_TEST(unreadable("address", R"("10.0.0.1:0")"));
    BOOST_TEST(unreadable("models", "{}"));
    BOOST_TEST(unreadable("models", R"(["m"])"));
    BOOST_TEST(unreadable("models", R"([{"name":"m","adapters":[7]}])"));
}

BOOST_AUTO_TEST_CASE(a_report_without_its_count_of_orders_is_none)
{
    BOOST_TEST(failed<ReplicaReport>([] { return readReport(R"({"models":[]})"); }));
    BOOST_TEST(failed<ReplicaReport>([] { return readReport(R"({"models":[],"sequence":-1})"); }));
    BOOST_TEST(!failed<ReplicaReport>([] { return readReport(R"({"models":[],"sequence":1,"born":5})"); }));
}

// Whoever reads the logs could call in a member's name.
// 1. A configuration comes cut off within a key. 2. What is wrong with it is logged, and does not quote it.
BOOST_AUTO_TEST_CASE(what_is_wrong_with_a_configuration_does_not_quote_it)
{
    const auto message = orElse(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(readConfiguration(R"({"version":1,"tenants":[{"name":"m","apiKeys":["secret-key)"));
            return std::string();
        },
        [](const Error& error) { return std::string(error.message()); });
    BOOST_TEST(!message.empty());
    BOOST_TEST(message.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(members_are_read_with_their_keys_and_quotas)
{
    const auto configuration = orElse(
        []() -> Result<serving::ServingConfiguration> {
            return readConfiguration(R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","service":"s",
                "public":true}],"tenants":[{"name":"m","apiKeys":["a","b"],"priority":3,"unit":"tokens",
                "plainTokens":200,"ratePerS":1000,"burst":500},{"name":"n","apiKeys":[]}]})");
        },
        [](const Error&) { return serving::ServingConfiguration(); });
    BOOST_REQUIRE(configuration.members.size() == 2U);
    const auto& member = configuration.members[0];
    BOOST_TEST(member.name.str() == "m");
    BOOST_TEST(member.keys.size() == 2U);
    BOOST_TEST(member.priority.value() == 3U);
    BOOST_TEST((member.quota.unit == serving::Quota::Unit::Tokens));
    BOOST_TEST(member.quota.ratePerSecond == 1000);
    BOOST_TEST(member.quota.burst == 500);
    BOOST_TEST(member.quota.defaultTokens == 200);
    BOOST_TEST(configuration.routes[0].isPublic);
    BOOST_TEST(!configuration.members[1].quota.limits());
    BOOST_TEST(!configuration.members[1].priority.has_value());
}
