#include "platform/AnswerHeaders.h"
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

template <typename T> auto fails(const std::function<Result<T>()>& read) -> bool
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(read());
            return false;
        },
        [](const Error&) { return true; });
}

} // namespace

BOOST_AUTO_TEST_CASE(request_headers_are_parsed_into_metadata)
{
    const auto metadata = readRequestMetadata(request());
    BOOST_REQUIRE(metadata);
    BOOST_TEST(metadata->attempt.str() == "abc");
    BOOST_TEST(metadata->model.str() == "base");
    BOOST_TEST(metadata->adapter.str() == "a7");
    BOOST_TEST(metadata->promptTokens == 1460U);
    BOOST_TEST(metadata->outputTokens == 80U);
    BOOST_TEST(metadata->prompt.size() == 3U);
    BOOST_TEST(metadata->prompt[1].tokens == 410U);
    BOOST_TEST(metadata->deadline->count() == 4000);
}

BOOST_AUTO_TEST_CASE(request_without_attempt_id_is_rejected)
{
    auto message = request();
    message.fields.remove(names::attemptId);
    BOOST_TEST(!readRequestMetadata(message).has_value());
}

// Guards against orders that cannot be written: they are JSON, and a client names the adapter.
BOOST_AUTO_TEST_CASE(request_for_a_model_whose_name_is_no_text_is_rejected)
{
    for (const auto* name : { "base/a\xff", "base\xc3/a7", "\xed\xa0\x80/a7" }) {
        auto message = request();
        message.fields.set(names::model, name);
        BOOST_TEST(!readRequestMetadata(message).has_value());
    }
    auto message = request();
    message.fields.set(names::model, "base/\xc3\xa9t\xc3\xa9");
    BOOST_TEST(readRequestMetadata(message).has_value());
}

BOOST_AUTO_TEST_CASE(forwarded_request_keeps_client_headers_and_adds_control_headers)
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

BOOST_AUTO_TEST_CASE(answer_with_another_attempt_id_is_detected)
{
    auto head = wire::HttpResponseHead { .status = 200 };
    head.fields.add(names::attemptId, "other");
    BOOST_TEST(readAnswerMetadata(head, AttemptId("abc")).forOtherAttempt);
    head.fields.set(names::attemptId, "abc");
    BOOST_TEST(!readAnswerMetadata(head, AttemptId("abc")).forOtherAttempt);
    // A successful answer without an attempt id may be a duplicate answer; an error may lack the attempt id.
    BOOST_TEST(readAnswerMetadata({ .status = 200 }, AttemptId("abc")).forOtherAttempt);
    BOOST_TEST(!readAnswerMetadata({ .status = 421 }, AttemptId("abc")).forOtherAttempt);
    BOOST_TEST(readAnswerMetadata({ .status = 421 }, AttemptId("abc")).notRun);
}

BOOST_AUTO_TEST_CASE(rate_limit_of_an_answer_is_a_decimal_number)
{
    const auto read = [](const std::vector<std::string>& values) {
        auto head = wire::HttpResponseHead { .status = 200 };
        for (const auto& value : values)
            head.fields.add(names::rateLimit, value);
        return readAnswerMetadata(head, AttemptId("abc"));
    };
    BOOST_TEST(!read({}).rateLimit.has_value());
    BOOST_TEST(!read({}).rateLimitInvalid);
    BOOST_TEST(*read({ "1" }).rateLimit == 1);
    BOOST_TEST(*read({ "0.5" }).rateLimit == 0.5);
    BOOST_TEST(*read({ "0" }).rateLimit == 0);
    BOOST_TEST(*read({ "1000000000000000000000" }).rateLimit > 1e20);
    for (const auto& values : std::vector<std::vector<std::string>> {
             { "" }, { "many" }, { "-1" }, { "1e" }, { "1 a second" }, { "inf" }, { "nan" }, { "1", "2" } }) {
        BOOST_TEST(!read(values).rateLimit.has_value());
        BOOST_TEST(read(values).rateLimitInvalid);
    }
}

// Guards against a replica that is lost for good, or a rest that is forgotten, because of one odd value.
BOOST_AUTO_TEST_CASE(rest_of_a_refusal_is_a_positive_number_of_seconds)
{
    const auto read = [](const std::vector<std::string>& values, int status = 503) {
        auto fields = wire::HeaderFields();
        for (const auto& value : values)
            fields.add(names::retryAfter, value);
        return readAvailability(status, fields);
    };
    BOOST_TEST(!read({}).rest.has_value());
    BOOST_TEST(read({}).restProblem.empty());
    BOOST_TEST((*read({ "3" }).rest == 3s));
    BOOST_TEST((*read({ "0.25" }).rest == 250ms));
    BOOST_TEST(read({ "3" }).restProblem.empty());
    BOOST_TEST(!read({ "3" }, 200).rest.has_value());
    BOOST_TEST((*read({ std::string(400, '9') }).rest >= std::chrono::hours(24)));
    for (const auto* value : { "", "soon", "0", "-3", "1e3", "inf", "nan", "3 s", "Wed, 21 Oct 2015 07:28:00 GMT" }) {
        BOOST_TEST(!read({ value }).rest.has_value());
        BOOST_TEST(!read({ value }).restProblem.empty());
    }
    const auto twice = read({ "1", "4", "soon" });
    BOOST_TEST((*twice.rest == 4s));
    BOOST_TEST(!twice.restProblem.empty());
}

BOOST_AUTO_TEST_CASE(leaving_is_said_in_answers_of_any_status)
{
    const auto read = [](int status, const std::string& value) {
        auto fields = wire::HeaderFields();
        fields.add("server-leaving", value);
        return readAvailability(status, fields);
    };
    for (const auto status : { 200, 404, 500, 503 })
        BOOST_TEST(read(status, "1").leaving);
    BOOST_TEST(!read(200, "0").leaving);
    BOOST_TEST(!read(200, "0").leavingInvalid);
    for (const auto* value : { "", "yes", "11" }) {
        BOOST_TEST(!read(200, value).leaving);
        BOOST_TEST(read(200, value).leavingInvalid);
    }
}

// Guards against a header by which replicas ask for something, and which is passed on unread.
BOOST_AUTO_TEST_CASE(unknown_header_fields_of_answers_are_named)
{
    auto fields = wire::HeaderFields();
    fields.add("content-type", "text/plain");
    fields.add(names::seal, "s");
    BOOST_TEST(unknownFieldNames(fields).empty());
    fields.add("Server-Mood", "low");
    BOOST_REQUIRE(unknownFieldNames(fields).size() == 1U);
    BOOST_TEST(unknownFieldNames(fields).front() == "Server-Mood");
}

BOOST_AUTO_TEST_CASE(retry_after_has_fractional_seconds)
{
    const auto fields = ownFields(AttemptId("abc"), std::chrono::milliseconds(250));
    BOOST_TEST(fields.get(names::retryAfter) == "0.250");
}

BOOST_AUTO_TEST_CASE(configuration_is_parsed_and_unknown_fields_are_ignored)
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

BOOST_AUTO_TEST_CASE(malformed_documents_are_reported_as_errors)
{
    BOOST_TEST(fails<serving::ServingConfiguration>([] { return readConfiguration("{"); }));
    BOOST_TEST(fails<serving::ServingConfiguration>([] { return readConfiguration(R"({"version":"x"})"); }));
    BOOST_TEST(fails<serving::ReplicaRecord>([] { return readReplica("i", "[]"); }));
    BOOST_TEST(fails<ReplicaReport>([] { return readReport("garbage"); }));
    BOOST_TEST(fails<NamedVersion>([] { return readVersion("{}"); }));
}

BOOST_AUTO_TEST_CASE(report_lists_resident_and_loading_adapters)
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
    BOOST_REQUIRE(report.loading.size() == 1U);
    BOOST_TEST(report.loading[0].str() == "a3");
}

namespace {

auto recordWith(const std::string& name, const std::string& value) -> std::string
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

auto isRejected(const std::string& name, const std::string& value) -> bool
{
    return fails<serving::ReplicaRecord>([&] { return readReplica("i", recordWith(name, value)); });
}

} // namespace

BOOST_AUTO_TEST_CASE(replica_record_allows_unknown_fields_and_a_missing_start_time)
{
    BOOST_TEST(!isRejected("zone", R"("z")"));
    BOOST_TEST(!isRejected("more", R"({"new":[1]})"));
    // Records written before replicas stated their start time have no such field.
    BOOST_TEST(!isRejected("born", ""));
}

// Guards against using a record that another writer has overwritten. Parsed without checks, it could become a replica
// with four billion slots, or one without an address, and requests sent there would be lost.
BOOST_AUTO_TEST_CASE(replica_record_with_missing_or_invalid_fields_is_rejected)
{
    for (const auto* name : { "service", "address", "zone", "state", "slots" }) {
        for (const auto* value : { "", "null", "[]", "{}", "-1", "1.5", "true", R"("")" }) {
            const auto allowed = std::string_view(value) == R"("")"
                && (std::string_view(name) == "service" || std::string_view(name) == "zone");
            BOOST_TEST(isRejected(name, value) == !allowed, name << " = " << value);
        }
    }
    for (const auto* value : { "-1", "1.5", "true", R"("1700000000000")", "[]" })
        BOOST_TEST(isRejected("born", value), value);
    BOOST_TEST(isRejected("slots", "4294967297"));
    BOOST_TEST(isRejected("state", R"("resting")"));
    BOOST_TEST(isRejected("address", R"("somewhere")"));
    BOOST_TEST(isRejected("address", R"("host.example:80")"));
    BOOST_TEST(isRejected("address", R"("10.0.0.1:0")"));
    BOOST_TEST(isRejected("models", "{}"));
    BOOST_TEST(isRejected("models", R"(["m"])"));
    BOOST_TEST(isRejected("models", R"([{"name":"m","adapters":[7]}])"));
}

BOOST_AUTO_TEST_CASE(report_without_order_count_is_rejected)
{
    BOOST_TEST(fails<ReplicaReport>([] { return readReport(R"({"models":[]})"); }));
    BOOST_TEST(fails<ReplicaReport>([] { return readReport(R"({"models":[],"sequence":-1})"); }));
    BOOST_TEST(!fails<ReplicaReport>([] { return readReport(R"({"models":[],"sequence":1,"born":5})"); }));
}

// Guards against keys in the logs, with which a reader of the logs could impersonate a member. A configuration that is
// truncated within a key yields an error, which is logged and must not quote the document.
BOOST_AUTO_TEST_CASE(configuration_errors_do_not_contain_keys)
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

BOOST_AUTO_TEST_CASE(members_are_parsed_with_keys_and_quotas)
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
