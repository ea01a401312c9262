#include "router/Settings.h"

#include <gio/gio.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <set>

namespace eelgrass::router {

namespace {

constexpr auto maxPort = std::numeric_limits<std::uint16_t>::max();
constexpr auto minSecretLength = std::size_t(16);
constexpr auto digestDigits = std::size_t(64);

auto readEndpoint(MapReader& reader, const std::string& key, Endpoint& into, bool portRequired) -> void
{
    auto value = reader.take(key, portRequired);
    if (!value)
        return;
    auto inner = reader.inside(value, key);
    inner.read("address", into.address);
    inner.number("port", into.port, 0, maxPort, portRequired);
    if (!g_hostname_is_ip_address(into.address.c_str()))
        reader.note(value, key + ".address", "must be an IP address");
    inner.finish();
}

auto readCommon(MapReader& reader, CommonSettings& common) -> void
{
    auto zone = std::string();
    reader.read("name", common.name, true);
    reader.read("availability_zone", zone, true);
    common.zone = AvailabilityZone(zone);
    readEndpoint(reader, "platform", common.platform, true);
    reader.read("secret", common.secret, true);
    if (!common.secret.empty() && common.secret.size() < minSecretLength)
        reader.noteAt("secret", "must have at least 16 characters");
    reader.read("log_level", common.logLevel);
    static const auto levels = std::set<std::string> { "DEBUG", "INFO", "WARN", "ERROR" };
    if (!levels.contains(common.logLevel))
        reader.noteAt("log_level", "must be DEBUG, INFO, WARN or ERROR");
}

auto readOperators(MapReader& reader, EntrySettings& settings) -> void
{
    auto operators = reader.take("operators", false);
    if (!operators)
        return;
    if (!operators.IsSequence())
        return reader.note(operators, "operators", "must be a list");
    for (const auto& item : operators) {
        auto inner = reader.inside(item, "operators");
        auto name = std::string();
        auto digest = std::string();
        inner.read("name", name, true);
        inner.read("key_sha256", digest, true);
        if (digest.size() != digestDigits || digest.find_first_not_of("0123456789abcdef") != std::string::npos)
            inner.note(item, "key_sha256", "must be 64 hexadecimal digits in lower case");
        inner.finish();
        settings.operatorsByKeyDigest[digest] = name;
    }
}

auto readEntry(MapReader& reader, EntrySettings& settings) -> void
{
    constexpr auto maxBodyKiB = 65536U;
    constexpr auto maxDelayMs = 60000U;
    constexpr auto maxMembers = 10000U;
    constexpr auto maxSilenceS = 3600U;
    readEndpoint(reader, "listen", settings.listen, false);
    readOperators(reader, settings);
    reader.number("body_limit_kib", settings.bodyLimitKiB, 1, maxBodyKiB);
    reader.number("caller_silence_s", settings.callerSilenceS, 1, maxSilenceS);
    reader.number("balancer_delay_ms", settings.balancerDelayMs, 0, maxDelayMs);
    reader.number("metric_members", settings.metricMembers, 1, maxMembers);
}

auto readTarget(MapReader& reader, TargetSettings& settings) -> void
{
    constexpr auto maxSlots = 1024U;
    constexpr auto maxBatch = 4096U;
    constexpr auto maxQueue = 100000U;
    readEndpoint(reader, "listen", settings.listen, false);
    readEndpoint(reader, "metrics", settings.metrics, false);
    auto value = reader.take("target", true);
    if (!value)
        return;
    auto inner = reader.inside(value, "target");
    auto kind = std::string();
    inner.read("kind", kind, true);
    if (kind != "engine" && kind != "service")
        inner.note(value, "kind", "must be engine or service");
    settings.kind = kind == "service" ? TargetSettings::Kind::Service : TargetSettings::Kind::Engine;
    inner.read("serves", settings.serves, true);
    inner.read("address", settings.target.address);
    if (!g_hostname_is_ip_address(settings.target.address.c_str()))
        inner.noteAt("address", "must be an IP address");
    inner.number("port", settings.target.port, 1, maxPort, true);
    inner.number("slots", settings.slots, 1, maxSlots);
    inner.number("batch", settings.batch, 1, maxBatch);
    inner.read("honours_fence", settings.honoursFence);
    inner.number("queue_limit", settings.queueLimit, 1, maxQueue);
    inner.finish();
}

/// Reads the common settings, then those of a role with `readRole`.
template <typename T> auto parse(const std::string& yaml, std::string_view file, auto readRole) -> Checked<T>
{
    auto result = Checked<T>();
    try {
        auto root = YAML::Load(yaml);
        if (!root.IsMap()) {
            result.problems.push_back({ std::string(file), 1, "", "the file must be a map" });
            return result;
        }
        auto reader = MapReader(root, "", std::string(file), result.problems);
        readCommon(reader, result.value.common);
        readRole(reader, result.value);
        reader.finish();
    } catch (const YAML::Exception& error) {
        result.problems.push_back({ std::string(file), error.mark.line + 1, "", error.msg });
    }
    return result;
}

} // namespace

auto parseEntrySettings(const std::string& yaml, std::string_view file) -> Checked<EntrySettings>
{
    return parse<EntrySettings>(yaml, file, readEntry);
}

auto parseTargetSettings(const std::string& yaml, std::string_view file) -> Checked<TargetSettings>
{
    return parse<TargetSettings>(yaml, file, readTarget);
}

} // namespace eelgrass::router
