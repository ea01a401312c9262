#include "tests/harness/Process.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace eelgrass::tests;

namespace {

constexpr auto badSettings = 2;

struct File {
    explicit File(const std::string& text)
        : name((std::filesystem::temp_directory_path() / "eelgrass-settings-XXXXXX").string())
    {
        close(mkstemp(name.data()));
        std::ofstream(name) << text;
    }
    ~File() { std::remove(name.c_str()); }

    std::string name;
};

} // namespace

// An operator rolls out a settings file with mistakes. The process says all of them and ends before it listens or
// reaches for the platform, so that a bad file can never take the place of a good process.
BOOST_AUTO_TEST_CASE(bad_settings_end_the_process_before_anything_is_started)
{
    const auto file = File("name: e1\ntypo: 1\nlisten: { port: 99999 }\n");
    for (const auto* role : { "--role=entry", "--role=target" }) {
        auto process = Process("bad", "eelgrassrouterd", { role, "--settings=" + file.name });
        BOOST_TEST(process.wait() == badSettings);
        const auto output = process.output();
        BOOST_TEST(output.find(file.name + ":2: typo: is not a known key") != std::string::npos);
        BOOST_TEST(output.find(file.name + ":3: listen.port: must lie between 0 and 65535") != std::string::npos);
        BOOST_TEST(output.find("secret: is missing") != std::string::npos);
        BOOST_TEST(output.find("listening") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(check_says_whether_the_settings_are_good_and_starts_nothing)
{
    const auto file = File("name: e1\navailability_zone: z\nplatform: { address: 127.0.0.1, port: 1 }\n"
                           "secret: a-secret-of-enough-characters\n");
    auto good = Process("good", "eelgrassrouterd", { "--role=entry", "--check", "--settings=" + file.name });
    BOOST_TEST(good.wait() == 0);
    BOOST_TEST(good.output().empty());
    auto other = Process("other", "eelgrassrouterd", { "--role=target", "--check", "--settings=" + file.name });
    BOOST_TEST(other.wait() == badSettings);
    auto none = Process("none", "eelgrassrouterd", { "--role=entry", "--settings=/no/such/file" });
    BOOST_TEST(none.wait() == badSettings);
    auto role = Process("role", "eelgrassrouterd", { "--role=else", "--settings=" + file.name });
    BOOST_TEST(role.wait() == badSettings);
}
