#include "decisions/RecentValues.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace eelgrass;
using Versions = decisions::RecentValues<std::string, std::string>;

// Guards against a service that passes for one with a single version though it had another one a moment ago.
BOOST_AUTO_TEST_CASE(a_value_counts_for_as_long_as_it_was_seen)
{
    const auto start = Moment(1000s);
    auto versions = Versions();
    BOOST_TEST(!versions.hadOther("engine", "v1", start));
    versions.note("engine", "v1", start);
    versions.note("engine", "v1.1", start);
    versions.note("engine", "v1.1", start + 5s);
    versions.note("engine", "v1.1", start + 2s);
    versions.note("other", "v2", start + 8s);
    BOOST_TEST(versions.hadOther("engine", "v1", start + 5s));
    BOOST_TEST(!versions.hadOther("engine", "v1", start + 6s));
    BOOST_TEST(!versions.hadOther("engine", "v1.1", start + 1s));
    versions.forgetOld(start + 5s + Versions::retention);
    BOOST_TEST(versions.hadOther("engine", "v1", start));
    versions.forgetOld(start + 6s + Versions::retention);
    BOOST_TEST(!versions.hadOther("engine", "v1", start));
}
