#include "tests/harness/Process.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace eelgrass::tests;

namespace {

constexpr auto invalidSettingsCode = 2;

struct TemporaryFile {
    explicit TemporaryFile(const std::string& text)
        : name((std::filesystem::temp_directory_path() / "eelgrass-settings-XXXXXX").string())
    {
        close(mkstemp(name.data()));
        std::ofstream(name) << text;
    }
    ~TemporaryFile() { std::remove(name.c_str()); }

    std::string name;
};

} // namespace

// An operator deploys a settings file with mistakes. The process must report all of them and end before it listens or
// connects to the platform, so that a process with invalid settings never replaces a working one.
BOOST_AUTO_TEST_CASE(invalid_settings_end_the_process_before_it_listens)
{
    const auto file = TemporaryFile("name: e1\ntypo: 1\nlisten: { port: 99999 }\n");
    for (const auto* role : { "--role=entry", "--role=target" }) {
        auto process = Process("bad", "eelgrassrouterd", { role, "--settings=" + file.name });
        BOOST_TEST(process.wait() == invalidSettingsCode);
        const auto output = process.output();
        BOOST_TEST(output.find(file.name + ":2: typo: is not a known key") != std::string::npos);
        BOOST_TEST(output.find(file.name + ":3: listen.port: must lie between 0 and 65535") != std::string::npos);
        BOOST_TEST(output.find("secret: is missing") != std::string::npos);
        BOOST_TEST(output.find("listening") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(check_validates_the_settings_and_starts_nothing)
{
    const auto file = TemporaryFile("name: e1\navailability_zone: z\nplatform: { address: 127.0.0.1, port: 1 }\n"
                                    "secret: a-secret-of-enough-characters\n");
    auto valid = Process("good", "eelgrassrouterd", { "--role=entry", "--check", "--settings=" + file.name });
    BOOST_TEST(valid.wait() == 0);
    BOOST_TEST(valid.output().empty());
    auto wrongRole = Process("other", "eelgrassrouterd", { "--role=target", "--check", "--settings=" + file.name });
    BOOST_TEST(wrongRole.wait() == invalidSettingsCode);
    auto missingFile = Process("none", "eelgrassrouterd", { "--role=entry", "--settings=/no/such/file" });
    BOOST_TEST(missingFile.wait() == invalidSettingsCode);
    auto unknownRole = Process("role", "eelgrassrouterd", { "--role=else", "--settings=" + file.name });
    BOOST_TEST(unknownRole.wait() == invalidSettingsCode);
}
