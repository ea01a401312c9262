#include "serving/Settings.h"

namespace eelgrass::serving {

namespace {

constexpr auto maxPort = std::uint32_t(65535);

auto readEndpoint(MapReader& reader, const std::string& key, Endpoint& into) -> void
{
    auto text = std::string();
    reader.read(key, text, true);
    if (text.empty())
        return;
    if (const auto endpoint = parseEndpoint(text))
        into = *endpoint;
    else
        reader.noteAt(key, "must be ADDRESS:PORT");
}

auto readHost(MapReader& reader, HostSettings& host) -> void
{
    auto zone = std::string();
    reader.read("name", host.name, true);
    reader.read("availability_zone", zone, true);
    host.zone = AvailabilityZone(zone);
    readEndpoint(reader, "store", host.store);
    reader.read("address", host.address, true);
    reader.number("agent_port", host.agentPort, 1, maxPort, true);
    reader.number("metrics_port", host.metricsPort, 0, maxPort);
    reader.read("log_level", host.logLevel);
    reader.read("first_start", host.firstStart);
}

auto readSeeds(MapReader& reader, std::vector<Endpoint>& seeds) -> void
{
    auto list = std::vector<std::string>();
    reader.read("seeds", list);
    for (const auto& text : list) {
        if (const auto endpoint = parseEndpoint(text))
            seeds.push_back(*endpoint);
        else
            reader.noteAt("seeds", "must be a list of ADDRESS:PORT");
    }
}

auto readMilliseconds(MapReader& reader, const std::string& key, milliseconds& into) -> void
{
    constexpr auto maxMilliseconds = std::uint32_t(600000);
    auto value = static_cast<std::uint32_t>(into.count());
    reader.number(key, value, 0, maxMilliseconds);
    into = milliseconds(value);
}

/// Reads the time without news from the store after which requests with a key are refused. This bound must leave time
/// for an answer from the store, or every such request would be refused.
auto readKeyBound(MapReader& reader, std::optional<milliseconds>& into) -> void
{
    constexpr auto minBound = milliseconds(1000);
    auto bound = milliseconds(0);
    readMilliseconds(reader, "key_bound_ms", bound);
    if (bound.count() == 0)
        return;
    if (bound < minBound)
        reader.noteAt("key_bound_ms", "must be 0 for none, or " + std::to_string(minBound.count()) + " and more");
    into = bound;
}

auto readQuotas(MapReader& reader, QuotaBounds& quotas) -> void
{
    reader.read("quota_overage", quotas.overage);
    reader.read("quota_slack", quotas.slack);
    readMilliseconds(reader, "quota_window_ms", quotas.window);
    if (quotas.overage < 0 || quotas.slack < 0)
        reader.noteAt("quota_slack", "and quota_overage must not be less than 0");
}

/// Parses the file and runs `read` on its top level.
template <typename T, typename Read>
auto parseWith(const std::string& yaml, std::string_view file, Read&& read) -> Checked<T>
{
    auto checked = Checked<T>();
    try {
        auto reader = MapReader(YAML::Load(yaml), {}, std::string(file), checked.problems);
        read(reader, checked.value);
        reader.finish();
    } catch (const YAML::Exception& error) {
        checked.problems.push_back({ std::string(file), error.mark.line + 1, {}, error.msg });
    }
    return checked;
}

} // namespace

auto parseGatewaySettings(const std::string& yaml, std::string_view file) -> Checked<GatewaySettings>
{
    return parseWith<GatewaySettings>(yaml, file, [](MapReader& reader, GatewaySettings& settings) {
        readHost(reader, settings.host);
        readEndpoint(reader, "clients", settings.clients);
        readEndpoint(reader, "readiness", settings.readiness);
        readEndpoint(reader, "peers", settings.peers);
        readSeeds(reader, settings.seeds);
        reader.read("retry_ratio", settings.retries.ratio);
        reader.read("retry_slack", settings.retries.slack);
        auto window = milliseconds(10000);
        readMilliseconds(reader, "retry_window_ms", window);
        settings.retries.window = window;
        readMilliseconds(reader, "drain_bound_ms", settings.drainBound);
        readMilliseconds(reader, "configuration_bound_ms", settings.configurationBound);
        readKeyBound(reader, settings.keyBound);
        readQuotas(reader, settings.quotas);
        reader.read("processor_share", settings.processorShare);
        if (!(settings.processorShare > 0))
            reader.noteAt("processor_share", "must be greater than 0");
        readMilliseconds(reader, "grace_ms", settings.grace);
        readMilliseconds(reader, "zone_penalty_ms", settings.zonePenalty);
        readMilliseconds(reader, "zone_penalty_per_kib_ms", settings.zonePenaltyPerKiB);
    });
}

auto parseAgentSettings(const std::string& yaml, std::string_view file) -> Checked<AgentSettings>
{
    return parseWith<AgentSettings>(yaml, file, [](MapReader& reader, AgentSettings& settings) {
        readHost(reader, settings.host);
        readEndpoint(reader, "replica", settings.replica);
        auto service = std::string();
        reader.read("service", service);
        settings.service = ServiceName(service);
        readMilliseconds(reader, "first_write_spread_ms", settings.firstWriteSpread);
        readMilliseconds(reader, "grace_ms", settings.grace);
    });
}

} // namespace eelgrass::serving
