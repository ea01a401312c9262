#include "serving/StreamOrigins.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::serving;

namespace {

constexpr auto keep = Duration(10s);
const auto start = Moment(3600s);

auto stream(const std::string& attempt, const std::string& member = "m") -> StreamId
{
    return { MemberId(member), AttemptId(attempt) };
}

auto origin(const std::string& software) -> StreamOrigin
{
    return { ServiceName("engine"), SoftwareVersion(software) };
}

} // namespace

BOOST_AUTO_TEST_CASE(an_origin_is_known_until_its_time_is_over)
{
    auto origins = StreamOrigins();
    origins.note(stream("a"), origin("v1"), start, keep);
    BOOST_TEST((origins.find(stream("a"), start + keep)->origin == origin("v1")));
    BOOST_TEST(!origins.find(stream("a"), start + keep + 1ms));
    BOOST_TEST(!origins.find(stream("b"), start));
    origins.note(stream("a"), origin("v1"), start + 5s, keep);
    BOOST_TEST(origins.find(stream("a"), start + keep + 1ms).has_value());
}

// Guards against one member whose attempt ids decide where another member's streams go on.
BOOST_AUTO_TEST_CASE(members_have_streams_of_their_own)
{
    auto origins = StreamOrigins();
    origins.note(stream("a", "one"), origin("v1"), start, keep);
    origins.note(stream("a", "two"), origin("v1.1"), start, keep);
    BOOST_TEST((origins.find(stream("a", "one"), start)->origin == origin("v1")));
    BOOST_TEST((origins.find(stream("a", "two"), start)->origin == origin("v1.1")));
}

// Guards against a stream that goes on at the version of another one whose client has used the same id.
BOOST_AUTO_TEST_CASE(an_id_of_two_origins_is_unknown)
{
    auto origins = StreamOrigins();
    origins.note(stream("a"), origin("v1"), start, keep);
    origins.note(stream("a"), origin("v1.1"), start, keep);
    BOOST_TEST(!origins.find(stream("a"), start));
}

// Guards against memory that strangers fill.
BOOST_AUTO_TEST_CASE(the_number_of_streams_is_bounded)
{
    auto origins = StreamOrigins(3);
    for (auto number = 0; number < 10; ++number)
        origins.note(stream(std::to_string(number)), origin("v1"), start, keep);
    BOOST_TEST(origins.size() == 3U);
    BOOST_TEST(origins.find(stream("9"), start).has_value());
    BOOST_TEST(!origins.find(stream("6"), start));
}

// Guards against versions that are unknown and taken for equal.
BOOST_AUTO_TEST_CASE(an_unknown_version_allows_no_replica)
{
    auto replica = ReplicaRecord { .service = ServiceName("engine") };
    BOOST_TEST(!origin("").allows(replica));
    replica.software = SoftwareVersion("v1");
    BOOST_TEST(!origin("").allows(replica));
    BOOST_TEST(origin("v1").allows(replica));
    BOOST_TEST(!origin("v1.1").allows(replica));
    replica.service = ServiceName("another");
    BOOST_TEST(!origin("v1").allows(replica));
}
