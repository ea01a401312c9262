// Connections to replicas: which handlers are called for a request that was sent.
#include "serving/ReplicaLeg.h"

#include "wire/HttpHead.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::serving;

namespace {

/// A connection that is never established, because the event loop does not run.
struct UnansweredConnection {
    UnansweredConnection()
    {
        connection.send(
            "POST / HTTP/1.1\r\n\r\n", {}, [](const auto&) { return true; }, handlers());
    }
    auto handlers() -> ReplicaConnection::Handlers
    {
        return { .onHead = [this](const wire::HttpResponseHead&) { ++calls; },
            .onBody = [this](std::string_view) { ++calls; },
            .onDone = [this] { ++calls; },
            .onFault = [this](ReplicaFault) { ++calls; } };
    }

    Moment now { 1s };
    TimerService timers { [this] { return now; } };
    ReplicaConnection connection { timers, { "127.0.0.1", 9 } };
    int calls = 0;
};

} // namespace

// Guards against a second answer, which the client would take for the answer to its next request. The connect timeout
// falls due in the turn of the event loop in which the request's deadline has just passed: the request is answered and
// its send aborted, and the timer must not report a fault to the finished request.
BOOST_AUTO_TEST_CASE(aborted_send_reports_no_fault_when_the_connect_timeout_is_due)
{
    auto unanswered = UnansweredConnection();
    const auto timeUp = unanswered.timers.after(100ms, [&] { unanswered.connection.abort(); });
    unanswered.now += 10s;
    unanswered.timers.runDue();
    BOOST_TEST(unanswered.calls == 0);
}

// An aborted request gets no report of a fault even if its connection outlives the abort by some turns of the event
// loop, as it does when it is returned to the pool later.
BOOST_AUTO_TEST_CASE(aborted_send_reports_no_fault_on_later_loop_turns)
{
    auto unanswered = UnansweredConnection();
    unanswered.connection.abort();
    unanswered.now += 10s;
    unanswered.timers.runDue();
    BOOST_TEST(unanswered.calls == 0);
}

BOOST_AUTO_TEST_CASE(connect_timeout_reports_one_fault)
{
    auto unanswered = UnansweredConnection();
    unanswered.now += 10s;
    unanswered.timers.runDue();
    unanswered.timers.runDue();
    BOOST_TEST(unanswered.calls == 1);
}
