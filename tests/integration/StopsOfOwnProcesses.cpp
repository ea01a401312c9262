// What is open at the own interface's processes, beside members' calls, when they stop as planned.
#include "ctl/ExitCode.h"
#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

/// Longer than the balancer's delay of the tests' entries.
constexpr auto pastDelay = 400ms;

/// A deployment with one entry, and a file for an operator's key and one for a change.
struct Fixture {
    Fixture()
    {
        std::ofstream(key) << operatorKey << "\n";
        std::ofstream(change) << Json { { "classes", { { "report", { { "deadline_ms", 5000 } } } } } }.dump();
        deployment.addEngineTarget("t1");
        deployment.addEntry("e1");
        deployment.configure({ "e1" });
    }
    ~Fixture()
    {
        std::remove(key.c_str());
        std::remove(change.c_str());
    }
    Fixture(const Fixture&) = delete;
    auto operator=(const Fixture&) -> Fixture& = delete;

    auto beginPatch(const std::string& against) -> std::unique_ptr<Process>
    {
        return std::make_unique<Process>("eelgrassctl", "eelgrassctl",
            std::vector<std::string> { "config", "patch", change, "--against=" + against,
                "--entry=" + deployment.entryUrl("e1"), "--key-file=" + key });
    }

    Deployment deployment;
    std::string key = "/tmp/eelgrass-stops-key-" + std::to_string(getpid());
    std::string change = "/tmp/eelgrass-stops-change-" + std::to_string(getpid());
};

auto codeOf(Process& process) -> ctl::ExitCode { return static_cast<ctl::ExitCode>(process.wait()); }

} // namespace

// Guards against an operator who isn't told whether the change was made because the entry stopped meanwhile.
BOOST_FIXTURE_TEST_CASE(an_operators_change_under_way_at_a_stopping_entry_is_answered, Fixture)
{
    deployment.platform().signal(SIGSTOP);
    auto call = beginPatch("1");
    std::this_thread::sleep_for(pastDelay);
    deployment.entry("e1").signal(SIGTERM);
    deployment.entry("e1").waitForLog("leaving");
    std::this_thread::sleep_for(pastDelay);
    deployment.platform().signal(SIGCONT);
    BOOST_TEST((codeOf(*call) == ctl::ExitCode::Done), call->output());
    BOOST_TEST(deployment.entry("e1").wait() == 0);
}

// Guards against a change that is made twice, or against another state than the operator saw, because the operator's
// program ended without an answer and is run again.
BOOST_FIXTURE_TEST_CASE(a_change_whose_operator_ended_meanwhile_is_made_once, Fixture)
{
    deployment.platform().signal(SIGSTOP);
    auto call = beginPatch("1");
    std::this_thread::sleep_for(pastDelay);
    call->signal(SIGTERM);
    BOOST_TEST(call->wait() == -SIGTERM);
    deployment.platform().signal(SIGCONT);
    deployment.awaitVersion("e1", 2);
    BOOST_TEST((codeOf(*beginPatch("1")) == ctl::ExitCode::Stale));
}
