#include "tests/harness/Session.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

struct Fixture {
    Fixture()
    {
        deployment.addEngineTarget("t1");
        deployment.addServiceTarget("s1", "catalogue");
        deployment.addEntry("e1");
        deployment.configure({ "e1" });
    }

    [[nodiscard]] auto session() const -> Session { return Session(deployment.entryUrl("e1")); }

    Deployment deployment;
};

/// Compares the session with its golden file; with EELGRASS_WRITE_GOLDEN (`./run golden`) writes that file instead.
auto compareWithGolden(const std::string& name, const Session& session) -> void
{
    const auto* folder = std::getenv("EELGRASS_GOLDEN");
    const auto path = std::string(folder ? folder : "tests/golden") + "/" + name + ".txt";
    if (std::getenv("EELGRASS_WRITE_GOLDEN")) {
        std::ofstream(path) << session.text();
        return;
    }
    auto golden = std::stringstream();
    golden << std::ifstream(path).rdbuf();
    BOOST_TEST(session.text() == golden.str());
}

const auto operatorHeader = std::pair<std::string, std::string>("Authorization", std::string("Bearer ") + operatorKey);

} // namespace

BOOST_FIXTURE_TEST_CASE(completions, Fixture)
{
    auto session = this->session();
    session.ask("/v1/completions", R"({"model":"life","prompt":"6205 at 3 kN","max_tokens":3})");
    session.ask("/v1/completions", R"({"model":"life@1","prompt":"6205 at 3 kN","max_tokens":3,"stream":true})");
    compareWithGolden("completions", session);
}

BOOST_FIXTURE_TEST_CASE(chat, Fixture)
{
    const auto messages = std::string(R"("messages":[{"role":"user","content":"6205?"}],"max_tokens":3)");
    auto session = this->session();
    session.ask("/v1/chat/completions", R"({"model":"mode",)" + messages + "}");
    session.ask("/v1/chat/completions", R"({"model":"mode","stream":true,)" + messages + "}");
    compareWithGolden("chat", session);
}

BOOST_FIXTURE_TEST_CASE(services, Fixture)
{
    auto session = this->session();
    session.ask("/services/catalogue/items?bore=25", "6205");
    session.ask("/services/catalogue/items?status=409", "6205");
    session.ask("/services/none/items", "6205");
    compareWithGolden("services", session);
}

BOOST_FIXTURE_TEST_CASE(refusals, Fixture)
{
    auto session = this->session();
    session.ask("/v1/completions", "{}", { { "Authorization", "Bearer wrong" } });
    session.ask("/v1/completions", "not json");
    session.ask("/v1/completions", R"({"model":"other","prompt":"p"})");
    session.ask("/v1/completions", R"({"model":"life@7","prompt":"p"})");
    session.ask("/v1/completions", R"({"model":"life","prompt":"p","max_tokens":-1})");
    session.ask("/v1/completions", R"({"model":"life","prompt":"p"})", { { "X-Eelgrass-Deadline-Ms", "-1" } });
    session.ask("/v1/completions", "", {}, "GET");
    session.ask("/v1/other", "{}");
    session.ask("/v1/completions", "", { { "Content-Length", "99999999" } });
    compareWithGolden("refusals", session);
}

BOOST_FIXTURE_TEST_CASE(operators, Fixture)
{
    const auto ifMatch = [](const char* version) { return RawHeaders { operatorHeader, { "If-Match", version } }; };
    const auto patch = R"({"classes":{"report":{"deadline_ms":9000}}})";
    auto session = this->session();
    session.ask("/admin/v1/config", "", {}, "GET");
    session.ask("/admin/v1/config", patch, { operatorHeader }, "PATCH");
    session.ask("/admin/v1/config", patch, ifMatch("\"0\""), "PATCH");
    session.ask("/admin/v1/config", R"({"classes":{"report":7}})", ifMatch("\"1\""), "PATCH");
    session.ask("/admin/v1/config", patch, ifMatch("\"1\""), "PATCH");
    session.ask("/admin/v1/adapters/life", "", { operatorHeader }, "GET");
    session.ask("/admin/v1/targets/t1/drain", "", { operatorHeader });
    session.ask("/v1/completions", R"({"model":"life","prompt":"p"})");
    session.ask("/admin/v1/targets/t1/drain", "", { operatorHeader }, "DELETE");
    session.ask("/admin/v1/config/history", "", { operatorHeader }, "GET");
    session.ask("/admin/v1/other", "", { operatorHeader }, "GET");
    compareWithGolden("operators", session);
}
