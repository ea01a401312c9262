#include "serving/AdapterVersions.h"

#include "base/DurationText.h"
#include "base/JsonText.h"
#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrass::serving {

namespace {

/// The hash of one named version; the fingerprint is the sum of all, so that it does not depend on their order.
auto hashOf(const BaseModel& model, const AdapterName& adapter, AdapterVersion version) -> std::uint64_t
{
    return decisions::nameHash(model.str() + "/" + adapter.str() + "@" + std::to_string(version.value()));
}

} // namespace

AdapterVersions::AdapterVersions(OnInForce onInForce)
    : onInForce_(std::move(onInForce))
{
}

auto AdapterVersions::apply(const hosting::NamedVersion& named, const News& news, Moment now) -> bool
{
    if (named.version <= of(named.model, named.adapter).version)
        return false;
    auto& known = versions_[named.model][named.adapter];
    if (known.learnedAt)
        fingerprint_ -= hashOf(named.model, named.adapter, known.version);
    fingerprint_ += hashOf(named.model, named.adapter, named.version);
    known = {
        .version = named.version, .learnedAt = now, .namedAfter = news.namedAfter, .source = std::string(news.source)
    };
    const auto age = news.namedAfter ? std::optional(now - *news.namedAfter) : std::nullopt;
    log::info("adapter version in force",
        { { "adapter", named.adapter.str() }, { "version", std::to_string(known.version.value()) },
            { "source", known.source }, { "age_ms", age ? millisecondsText(*age) : "" } });
    if (age && onInForce_)
        onInForce_(*age);
    return true;
}

auto AdapterVersions::of(const BaseModel& model, const AdapterName& adapter) const -> const KnownVersion&
{
    static const auto none = KnownVersion();
    const auto adapters = versions_.find(model);
    if (adapters == versions_.end())
        return none;
    const auto found = adapters->second.find(adapter);
    return found == adapters->second.end() ? none : found->second;
}

auto AdapterVersions::json(Moment now) const -> std::string
{
    auto list = nlohmann::json::array();
    for (const auto& [model, adapters] : versions_) {
        for (const auto& [adapter, known] : adapters) {
            auto item = nlohmann::json { { "model", model.str() }, { "adapter", adapter.str() },
                { "version", known.version.value() } };
            if (known.namedAfter)
                item["ageMs"] = std::chrono::ceil<milliseconds>(now - *known.namedAfter).count();
            list.push_back(std::move(item));
        }
    }
    return list.dump();
}

auto AdapterVersions::applyJson(std::string_view text, std::string_view source, Moment askedAt, Moment now) -> void
{
    const auto list = parseJson(text);
    if (!list.is_array())
        return log::error("versions not understood", { { "source", std::string(source) } });
    for (const auto& item : list) {
        const auto named = orElse(
            [&]() -> Result<std::optional<hosting::NamedVersion>> {
                BOOST_LEAF_AUTO(version, hosting::readVersion(item.dump()));
                return std::optional(version);
            },
            [&](const Error& error) -> std::optional<hosting::NamedVersion> {
                log::error(
                    "version not understood", { { "source", std::string(source) }, { "reason", error.message() } });
                return std::nullopt;
            });
        if (!named)
            continue;
        const auto age = item.find("ageMs");
        auto news = News { .source = source };
        if (age != item.end() && age->is_number_unsigned())
            news.namedAfter = askedAt - Duration(milliseconds(age->get<std::int64_t>()));
        apply(*named, news, now);
    }
}

} // namespace eelgrass::serving
