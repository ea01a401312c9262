#include "ctl/ExitCode.h"
#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace eelgrass;
using namespace eelgrass::tests;
using ctl::ExitCode;

namespace {

struct Outcome {
    ExitCode code;
    std::string output;

    [[nodiscard]] auto json() const -> Json { return Json::parse(output, nullptr, false); }
};

/// A deployment with one engine target and one entry, and a way to run `eelgrassctl` on it.
struct Fixture {
    Fixture()
    {
        auto name = (std::filesystem::temp_directory_path() / "eelgrass-ctl-XXXXXX").string();
        folder = mkdtemp(name.data());
        static_cast<void>(write("key", std::string(operatorKey) + "\n"));
        deployment.addEngineTarget("t1");
        deployment.addEntry("e1");
        deployment.configure({ "e1" });
    }
    ~Fixture() { std::filesystem::remove_all(folder); }

    [[nodiscard]] auto write(const std::string& name, const std::string& text) const -> std::string
    {
        auto path = folder + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    /// Runs `eelgrassctl` with just these arguments.
    [[nodiscard]] auto runCtl(const std::vector<std::string>& arguments) const -> Outcome
    {
        auto process = Process("eelgrassctl", "eelgrassctl", arguments);
        const auto code = process.wait();
        return { static_cast<ExitCode>(code), process.output() };
    }

    /// Runs `eelgrassctl` with the entry's address and the operator's key.
    [[nodiscard]] auto ctl(std::vector<std::string> arguments) const -> Outcome
    {
        arguments.push_back("--entry=" + deployment.entryUrl("e1"));
        arguments.push_back("--key-file=" + folder + "/key");
        return runCtl(arguments);
    }

    [[nodiscard]] auto contains(const Outcome& outcome, const std::string& text) const -> bool
    {
        return outcome.output.find(text) != std::string::npos;
    }

    Deployment deployment;
    std::string folder;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(config_get_prints_the_current_configuration, Fixture)
{
    const auto current = ctl({ "config", "get", "--json" });
    BOOST_TEST((current.code == ExitCode::Done));
    BOOST_TEST(current.json()["adapters"]["life"]["in_force"] == 2);
}

BOOST_FIXTURE_TEST_CASE(config_patch_is_accepted_once_and_then_stale, Fixture)
{
    const auto file = write("patch.json", R"({"classes":{"report":{"deadline_ms":9000}}})");
    const auto accepted = ctl({ "config", "patch", file, "--against=1", "--json" });
    BOOST_TEST((accepted.code == ExitCode::Done));
    BOOST_TEST(accepted.json()["version"] == 2);
    const auto stale = ctl({ "config", "patch", file, "--against=1", "--json" });
    BOOST_TEST((stale.code == ExitCode::Stale));
    BOOST_TEST(stale.json()["error"]["type"] == "stale_version");
    BOOST_TEST((ctl({ "config", "patch", file }).code == ExitCode::Usage));
    const auto bad = write("bad.json", R"({"classes":{"report":{"deadline_ms":-1}}})");
    BOOST_TEST((ctl({ "config", "patch", bad, "--against=2" }).code == ExitCode::Refused));
}

BOOST_FIXTURE_TEST_CASE(config_history_lists_the_operator_of_each_change, Fixture)
{
    const auto history = ctl({ "config", "history", "--json" });
    BOOST_TEST((history.code == ExitCode::Done));
    BOOST_TEST(history.json()[0]["operator"] == "operator");
    BOOST_TEST(contains(ctl({ "config", "history" }), "operator"));
}

BOOST_FIXTURE_TEST_CASE(a_created_versioned_and_allowed_adapter_serves_requests, Fixture)
{
    BOOST_TEST((
        ctl({ "adapters", "create", "seal", "--base=base", "--digest=d1", "--allow=armor-b" }).code == ExitCode::Done));
    BOOST_TEST((ctl({ "adapters", "create", "seal", "--base=base", "--digest=d1" }).code == ExitCode::Refused));
    BOOST_TEST((ctl({ "adapters", "create", "ring", "--base=base" }).code == ExitCode::Usage));
    const auto body = Json { { "model", "seal" }, { "prompt", "p" }, { "max_tokens", 1 } };
    BOOST_TEST(deployment.complete("e1", body).status == 404);

    BOOST_TEST((ctl({ "adapters", "allow", "seal", "--member=armor-a" }).code == ExitCode::Done));
    BOOST_TEST((ctl({ "adapters", "version", "seal", "--digest=d2", "--activate" }).code == ExitCode::Done));
    BOOST_TEST((ctl({ "adapters", "version", "none", "--digest=d2" }).code == ExitCode::NotFound));
    const auto answer = deployment.complete("e1", body);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(Json::parse(answer.body)["model"] == "seal@2");

    BOOST_TEST((ctl({ "adapters", "allow", "seal", "--member=armor-a", "--undo" }).code == ExitCode::Done));
    BOOST_TEST(deployment.complete("e1", body).status == 404);
}

BOOST_FIXTURE_TEST_CASE(status_lists_the_targets, Fixture)
{
    const auto status = ctl({ "status", "--json" });
    BOOST_TEST((status.code == ExitCode::Done));
    BOOST_TEST(status.json()["targets"][0]["target"] == "t1");
    BOOST_TEST(contains(ctl({ "status" }), "t1"));
}

// An operator drains the only target. An entry that has the new configuration must place nothing on it any more and
// refuse requests as `not_run` with a time to retry, until the operator undoes the drain.
BOOST_FIXTURE_TEST_CASE(a_drained_target_gets_no_new_work_until_the_drain_is_undone, Fixture)
{
    const auto body = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 1 } };
    BOOST_TEST((ctl({ "drain", "t1" }).code == ExitCode::Done));
    BOOST_TEST((ctl({ "drain", "no-such-target" }).code == ExitCode::NotFound));
    const auto refused = deployment.complete("e1", body);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(Json::parse(refused.body)["error"]["run"] == "not_run");
    BOOST_TEST(contains(ctl({ "status" }), "drained"));
    BOOST_TEST(contains(ctl({ "explain", "life" }), "drained"));
    BOOST_TEST((ctl({ "drain", "t1", "--undo" }).code == ExitCode::Done));
    BOOST_TEST(deployment.complete("e1", body).status == 200);
}

BOOST_FIXTURE_TEST_CASE(explain_reports_the_placement_of_a_request_and_its_reasons, Fixture)
{
    const auto result = ctl({ "explain", "life", "--member=armor-a", "--json" });
    BOOST_TEST((result.code == ExitCode::Done));
    BOOST_TEST(result.json()["target"] == "t1");
    BOOST_TEST(result.json()["candidates"][0]["reason"].is_string());
    BOOST_TEST((ctl({ "explain", "life", "--member=armor-b" }).code == ExitCode::NotFound));
    BOOST_TEST(contains(ctl({ "explain", "life" }), "would go to t1"));
}

BOOST_FIXTURE_TEST_CASE(check_lists_every_problem_of_a_file, Fixture)
{
    const auto bad = write("bad.yaml", "name: e1\nlisten: { port: 70000 }\ntypo: 1\n");
    const auto result = runCtl({ "check", bad, "--json" });
    BOOST_TEST((result.code == ExitCode::Usage));
    BOOST_TEST(result.json()["problems"].size() >= 3U);
    BOOST_TEST((runCtl({ "check", folder + "/none.yaml" }).code == ExitCode::Usage));
}

BOOST_FIXTURE_TEST_CASE(exit_codes_distinguish_the_failures, Fixture)
{
    static_cast<void>(write("wrong", "not-the-key"));
    const auto entry = "--entry=" + deployment.entryUrl("e1");
    BOOST_TEST((runCtl({ "status", entry, "--key-file=" + folder + "/wrong" }).code == ExitCode::NotAllowed));
    BOOST_TEST((runCtl({ "status", entry }).code == ExitCode::Usage));
    BOOST_TEST((runCtl({ "status", "--entry=http://127.0.0.1:1", "--key-file=" + folder + "/key" }).code
        == ExitCode::Unavailable));
    BOOST_TEST((ctl({ "no", "such", "command" }).code == ExitCode::Usage));
}
