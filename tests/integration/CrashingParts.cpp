#include "tests/harness/PartCrashes.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::tests::PartCrashes;

namespace {

constexpr auto part = PartCrashes::part;

auto judge(PartCrashes::Options options) -> void { PartCrashes(std::move(options)).judge(); }

} // namespace

// Guards against blaming each request by itself for what a part of its prompt does.
BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_replicas_are_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s } });
}

// The same after the stream has begun.
BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_replicas_after_two_events_are_refused)
{
    judge({ .world = { .crash = { .part = part, .events = 2 }, .downFor = 1s } });
}

// The same where nobody sees a connection close.
BOOST_AUTO_TEST_CASE(requests_with_a_part_that_crashes_replicas_silently_are_refused)
{
    judge({ .world = { .crash = { .part = part, .silent = true }, .downFor = 1s } });
}

// The same for clients that leave early.
BOOST_AUTO_TEST_CASE(requests_with_short_deadlines_and_a_part_that_crashes_replicas_are_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s }, .deadlineMs = 900 });
}

// The same for the first part of a prompt.
BOOST_AUTO_TEST_CASE(requests_whose_first_part_crashes_replicas_are_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s },
        .crashingPrompt = [](std::size_t number) { return "dead:30,e" + std::to_string(number % 7) + ":20"; } });
}

// Guards against blaming the adapter, of which no two are alike.
BOOST_AUTO_TEST_CASE(requests_for_many_adapters_with_a_part_that_crashes_replicas_are_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s },
        .adapter = [](std::size_t number) { return "a" + std::to_string(number % 8); } });
}

// Guards against blaming each request by itself for what the weights of its adapter do, while sound requests for
// another one share all of its parts.
BOOST_AUTO_TEST_CASE(requests_for_an_adapter_that_crashes_replicas_are_refused)
{
    judge({ .world = { .crash = { .model = "base/faulty" }, .downFor = 1s },
        .crashingPrompt = [](std::size_t number) { return "c0:30,e" + std::to_string(number % 7) + ":20"; },
        .crashingAdapter = "faulty" });
}

// Guards against blaming the parts of one request that comes again and again.
BOOST_AUTO_TEST_CASE(requests_that_share_parts_with_one_that_crashes_replicas_are_served)
{
    judge({ .world = { .crash = { .body = "crashing prompt" }, .downFor = 1s },
        .soundPrompt = [](std::size_t number) { return "c0:30,dead:20,e" + std::to_string(number % 7) + ":10"; },
        .sameRequest = true });
}
