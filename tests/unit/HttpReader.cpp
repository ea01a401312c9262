#include "wire/HttpReader.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace eelgrass::wire;

namespace {

auto faultOf(std::string bytes, HttpLimits limits = {}) -> HttpFault
{
    auto reader = RequestReader(limits);
    return reader.feed(bytes);
}

struct Answer {
    HttpFault fault = HttpFault::None;
    bool complete = false;
    std::string body;
    std::string rest;
};

auto readAnswer(std::string bytes, bool ended) -> Answer
{
    auto reader = ResponseReader();
    auto answer = Answer();
    answer.fault = reader.feed(bytes, answer.body);
    if (ended)
        reader.finish();
    answer.complete = reader.complete();
    answer.rest = bytes;
    return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_are_read_one_after_the_other)
{
    auto reader = RequestReader({});
    auto bytes = std::string(
        "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /n HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_CHECK(reader.feed(bytes) == HttpFault::None);
    BOOST_REQUIRE(reader.complete());
    const auto first = reader.take();
    BOOST_TEST(first.target == "/a?b");
    BOOST_TEST(first.path() == "/a");
    BOOST_TEST(first.body == "abc");
    BOOST_CHECK(reader.feed(bytes) == HttpFault::None);
    BOOST_REQUIRE(reader.complete());
    BOOST_TEST(reader.take().target == "/n");
}

BOOST_AUTO_TEST_CASE(a_chunked_body_is_put_together_however_it_is_cut)
{
    const auto whole = std::string(
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    for (auto cut = std::size_t(1); cut < whole.size(); ++cut) {
        auto reader = RequestReader({});
        auto bytes = whole.substr(0, cut);
        BOOST_CHECK(reader.feed(bytes) == HttpFault::None);
        BOOST_TEST(!reader.complete());
        bytes += whole.substr(cut);
        BOOST_CHECK(reader.feed(bytes) == HttpFault::None);
        BOOST_REQUIRE(reader.complete());
        BOOST_TEST(reader.take().body == "abcde");
    }
}

// A request that two readers could frame differently lets one client's bytes pass as another's request.
BOOST_DATA_TEST_CASE(ambiguous_requests_are_malformed,
    boost::unit_test::data::make({
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 40\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nabcd",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n",
    }),
    bytes)
{
    BOOST_CHECK(faultOf(bytes) == HttpFault::Malformed);
}

BOOST_AUTO_TEST_CASE(sizes_are_bounded)
{
    const auto limits = HttpLimits { .headerBytes = 200, .bodyBytes = 10 };
    const auto longHead = "GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(1000, 'x');
    BOOST_CHECK(faultOf(longHead, limits) == HttpFault::HeaderTooLarge);
    BOOST_CHECK(faultOf(longHead + "\r\n\r\n", limits) == HttpFault::HeaderTooLarge);
    BOOST_CHECK(faultOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", limits) == HttpFault::BodyTooLarge);
    BOOST_CHECK(
        faultOf(
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nabcdef\r\n", limits)
        == HttpFault::BodyTooLarge);
}

// The caller of a service that dies between two chunks must not take what it has for the whole answer.
BOOST_AUTO_TEST_CASE(an_answer_cut_between_two_chunks_is_not_whole)
{
    const auto cut = readAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true);
    BOOST_TEST(cut.body == "abc");
    BOOST_TEST(!cut.complete);
    BOOST_TEST(readAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true).complete);
    BOOST_TEST(!readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", true).complete);
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_ends_with_its_connection)
{
    const auto bytes = std::string("HTTP/1.1 200 OK\r\n\r\nabc");
    BOOST_TEST(!readAnswer(bytes, false).complete);
    BOOST_TEST(readAnswer(bytes, true).complete);
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_are_left)
{
    const auto answer = readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n", false);
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == "abc");
    BOOST_TEST(answer.rest == "HTTP/1.1 200 OK\r\n");
}

BOOST_AUTO_TEST_CASE(what_is_no_answer_is_malformed)
{
    BOOST_CHECK(readAnswer("garbage\r\n\r\n", false).fault == HttpFault::Malformed);
}

BOOST_AUTO_TEST_CASE(what_concerns_one_connection_is_not_passed_on)
{
    auto fields = HeaderFields();
    for (const auto* name : { "Connection", "X-Named", "Keep-Alive", "TE", "Content-Length", "X-Kept" })
        fields.add(name, sameName(name, "connection") ? "close, x-named" : "1");
    fields.removeHopByHop();
    BOOST_TEST(fields.all().size() == 1U);
    BOOST_TEST(fields.get("x-kept") == "1");
}
