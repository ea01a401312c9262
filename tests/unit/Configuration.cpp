#include "router/Configuration.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::router;

namespace {

auto adapter(const char* member, const char* digest) -> Json
{
    return { { "base", "b" }, { "in_force", 1 }, { "allow", { member } },
        { "versions", { { "1", { { "digest", digest } } } } } };
}

auto document() -> Json
{
    return { { "members", { { "m", { { "keys", { { "d", Json::object() } } } } } } },
        { "adapters", { { "a", adapter("m", "aa") }, { "z", adapter("n", "zz") } } },
        { "classes", { { "draft", { { "deadline_ms", 5 } } } } }, { "note", "kept" } };
}

/// The document as parsed from an operator's request: a number read from text is unsigned, one written in C++ is
/// signed.
auto asParsed(const Json& json) -> Json { return Json::parse(json.dump()); }

auto parsed(const Json& json) -> Configuration
{
    return orElse([&] { return Configuration::parse(ConfigVersion(1), asParsed(json)); },
        [](const Error& error) -> Configuration { throw std::runtime_error(error.message()); });
}

auto patched(const Configuration& base, const Json& patch) -> Configuration
{
    return orElse([&] { return base.patched(base.version().next(), asParsed(patch)); },
        [](const Error& error) -> Configuration { throw std::runtime_error(error.message()); });
}

auto nameOf(const Configuration& configuration, const char* model, const char* member) -> std::string
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(resolved, configuration.resolve(model, MemberId(member)));
            return resolved.name.str();
        },
        [](const Error& error) { return error.type(); });
}

} // namespace

// Applying patches to the parsed configuration must give the same result as parsing the whole patched document.
// Otherwise entries that start now and entries that applied every patch would serve different configurations.
BOOST_AUTO_TEST_CASE(patching_equals_parsing_the_patched_document)
{
    const auto patches = std::vector<Json> {
        { { "adapters", { { "a", { { "versions", { { "2", { { "digest", "bb" } } } } }, { "in_force", 2 } } } } } },
        { { "adapters", { { "a", nullptr }, { "c", adapter("m", "cc") } } }, { "note", nullptr } },
        { { "members", { { "k", { { "keys", { { "e", Json::object() } } } } } } } },
        { { "adapters", nullptr } },
    };
    auto whole = document();
    auto configuration = parsed(whole);
    for (const auto& patch : patches) {
        whole.merge_patch(patch);
        configuration = patched(configuration, patch);
        auto expected = whole;
        expected.emplace("adapters", Json::object());
        BOOST_TEST(Json::parse(configuration.text()) == expected);
        BOOST_TEST(configuration.adapterCount() == expected["adapters"].size());
    }
    BOOST_TEST(configuration.callerByKeyDigest("e") != nullptr);
}

BOOST_AUTO_TEST_CASE(patching_leaves_the_earlier_version_unchanged)
{
    const auto before = parsed(document());
    const auto after
        = patched(before, { { "adapters", { { "a", { { "versions", { { "1", { { "digest", "new" } } } } } } } } } });
    BOOST_TEST(nameOf(before, "a", "m") == "a@1#aa");
    BOOST_TEST(nameOf(after, "a", "m") == "a@1#new");
}

BOOST_AUTO_TEST_CASE(a_snapshot_restores_the_same_configuration)
{
    const auto before = parsed(document());
    const auto text = before.snapshot();
    const auto after = orElse([&] { return Configuration::fromSnapshot(ConfigVersion(1), text); },
        [](const Error& error) -> Configuration { throw std::runtime_error(error.message()); });
    BOOST_TEST(after.text() == before.text());
    BOOST_TEST(nameOf(after, "a", "m") == "a@1#aa");
    BOOST_TEST(nameOf(after, "z", "m") == "unknown_model");
    BOOST_TEST(after.requestClass(RequestClass("draft")).deadline.count() == 5);
}

// The object store returns a part of a snapshot. An entry that accepted it would refuse callers of the missing
// adapters.
BOOST_AUTO_TEST_CASE(a_truncated_snapshot_is_rejected)
{
    const auto text = parsed(document()).snapshot();
    for (auto size = std::size_t(0); size < text.size(); ++size) {
        const auto refused = orElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(Configuration::fromSnapshot(ConfigVersion(1), text.substr(0, size)));
                return false;
            },
            [](const Error&) { return true; });
        BOOST_TEST(refused);
    }
}

BOOST_AUTO_TEST_CASE(all_problems_of_a_patch_are_reported_together)
{
    const auto message = orElse(
        [&]() -> Result<std::string> {
            const auto patch = Json { { "adapters", { { "a", { { "in_force", 9 } } }, { "x@", adapter("m", "d") } } } };
            BOOST_LEAF_CHECK(parsed(document()).patched(ConfigVersion(2), asParsed(patch)));
            return std::string();
        },
        [](const Error& error) { return error.message(); });
    BOOST_TEST(message.find("adapters.a.in_force names a version that is not there") != std::string::npos);
    BOOST_TEST(message.find("adapters.x@ must not contain") != std::string::npos);
}
