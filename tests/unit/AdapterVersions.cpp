#include "serving/AdapterVersions.h"

#include "serving/detail/NewsAge.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::serving;

namespace {

const auto model = BaseModel("base");
const auto adapter = AdapterName("a1");

auto named(std::uint64_t version, const std::string& name = "a1") -> hosting::NamedVersion
{
    return { model, AdapterName(name), AdapterVersion(version) };
}

} // namespace

// Guards against an older version that a slow source reports after a newer one.
BOOST_AUTO_TEST_CASE(a_version_never_falls)
{
    auto versions = AdapterVersions();
    BOOST_TEST((versions.of(model, adapter).version == AdapterVersion(1)));
    BOOST_TEST(!versions.apply(named(1), { .source = "store" }, Moment(1s)));
    BOOST_TEST(versions.apply(named(7), { .source = "store" }, Moment(1s)));
    BOOST_TEST(!versions.apply(named(3), { .source = "peer" }, Moment(2s)));
    BOOST_TEST((versions.of(model, adapter).version == AdapterVersion(7)));
    BOOST_TEST(versions.of(model, adapter).source == "store");
    BOOST_TEST((versions.of(BaseModel("other"), adapter).version == AdapterVersion(1)));
}

// Guards against news that looks newer at each process that passes it on.
BOOST_AUTO_TEST_CASE(news_ages_on_its_way_from_process_to_process)
{
    auto ages = std::vector<Duration>();
    auto first = AdapterVersions();
    auto second = AdapterVersions([&](Duration age) { ages.push_back(age); });
    first.apply(named(7), { .source = "store", .namedAfter = Moment(1s) }, Moment(2s));
    first.apply(named(2, "a2"), { .source = "store" }, Moment(2s));
    second.applyJson(first.json(Moment(3s)), "peer", Moment(10s), Moment(11s));
    BOOST_TEST((second.of(model, adapter).version == AdapterVersion(7)));
    BOOST_TEST((second.of(model, adapter).namedAfter == Moment(8s)));
    BOOST_TEST((second.of(model, AdapterName("a2")).version == AdapterVersion(2)));
    BOOST_TEST(!second.of(model, AdapterName("a2")).namedAfter.has_value());
    BOOST_TEST((ages == std::vector<Duration> { 3s }));
}

// Guards against peers that exchange all versions again and again, or never, because their fingerprints do not tell.
BOOST_AUTO_TEST_CASE(fingerprint_depends_on_the_versions_alone)
{
    auto first = AdapterVersions();
    auto second = AdapterVersions();
    first.apply(named(7), { .source = "store" }, Moment(1s));
    first.apply(named(2, "a2"), { .source = "store" }, Moment(2s));
    second.apply(named(2, "a2"), { .source = "peer" }, Moment(3s));
    second.apply(named(3), { .source = "peer" }, Moment(4s));
    BOOST_TEST(first.fingerprint() != second.fingerprint());
    second.apply(named(7), { .source = "peer" }, Moment(5s));
    BOOST_TEST(first.fingerprint() == second.fingerprint());
}

// Guards against an unreadable text of a peer that takes away what is known.
BOOST_AUTO_TEST_CASE(unreadable_versions_of_a_peer_are_passed_over)
{
    auto versions = AdapterVersions();
    versions.applyJson("not JSON", "peer", Moment(1s), Moment(1s));
    versions.applyJson(R"([{"model":"base"},{"model":"base","adapter":"a1","version":7,"ageMs":"old"}])", "peer",
        Moment(1s), Moment(1s));
    BOOST_TEST((versions.of(model, adapter).version == AdapterVersion(7)));
    BOOST_TEST(!versions.of(model, adapter).namedAfter.has_value());
}

// Guards against news of unknown age that is taken for new or for weeks old.
BOOST_AUTO_TEST_CASE(unknown_age_stays_unknown)
{
    BOOST_TEST(!detail::momentOfAge(detail::ageOfMoment(std::nullopt, Moment(9s)), Moment(20s)).has_value());
    BOOST_TEST((detail::momentOfAge(detail::ageOfMoment(Moment(7s), Moment(9s)), Moment(20s)) == Moment(18s)));
    BOOST_TEST(detail::ageOfMoment(Moment(9s), Moment(7s)) == 0U);
}
