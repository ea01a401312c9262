#include "ctl/TraceCommand.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace eelgrass;
using namespace eelgrass::ctl;

namespace {

auto line(const std::string& time, const std::string& process, const std::string& message, const std::string& request)
    -> std::string
{
    return R"({ "timestamp": ")" + time + R"(", "level": "INFO", "message": ")" + message
        + R"(", "context_map": { "process": ")" + process + R"(", "request": ")" + request
        + R"(", "reason": "", "state_age_ms": "12" } })" + "\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(only_lines_of_the_request_are_taken)
{
    const auto log = line("2026-01-01 00:00:00,001", "gateway:a", "sent", "r1") + "no JSON, but r1\n"
        + line("2026-01-01 00:00:00,002", "gateway:a", "sent", "r12") + line("t", "gateway:a", "of r1", "other");
    const auto lines = traceLines(log, "r1");
    BOOST_REQUIRE(lines.size() == 1U);
    BOOST_TEST(lines[0].message == "sent");
    BOOST_TEST(lines[0].process == "gateway:a");
    BOOST_REQUIRE(lines[0].fields.size() == 1U);
    BOOST_TEST(lines[0].fields[0] == "state_age_ms=12");
}

// Two processes wrote of one request; their files are given in the wrong order.
BOOST_AUTO_TEST_CASE(lines_of_several_files_come_in_the_order_of_time)
{
    const auto folder = std::string(std::getenv("TMPDIR") ? std::getenv("TMPDIR") : "/tmp") + "/eelgrass-trace-"
        + std::to_string(getpid());
    const auto gateway = folder + "-gateway.log";
    const auto agent = folder + "-agent.log";
    std::ofstream(gateway) << line("2026-01-01 00:00:00,001", "gateway:a", "sent", "r1")
                           << line("2026-01-01 00:00:00,009", "gateway:a", "request over", "r1");
    std::ofstream(agent) << line("2026-01-01 00:00:00,000", "agent:b", "granted", "r1");
    auto out = std::ostringstream();
    auto err = std::ostringstream();
    const auto code = traceRequest({ .words = { "trace", "r1", gateway, agent } }, { out, err });
    BOOST_TEST((code == ExitCode::Done));
    const auto text = out.str();
    BOOST_TEST(text.find("granted") < text.find("sent"));
    BOOST_TEST(text.find("sent") < text.find("request over"));
    BOOST_TEST((traceRequest({ .words = { "trace", "r2", gateway } }, { out, err }) == ExitCode::NotFound));
    BOOST_TEST((traceRequest({ .words = { "trace", "r1", folder } }, { out, err }) == ExitCode::Usage));
    std::remove(gateway.c_str());
    std::remove(agent.c_str());
}
