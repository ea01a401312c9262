#include "serving/GatewayRole.h"

#include "base/Log.h"
#include "serving/StoreCalls.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

constexpr auto metricClasses = std::size_t(100);
// How often an entry checks whether it has to ask its peers.
constexpr auto peerCheckInterval = Duration(250ms);
// A new configuration arrives from the store within one long poll; an entry that is behind for longer cannot reach the
// store.
constexpr auto behindLimit = Duration(600ms);
// How long an entry waits for the store's list of replicas before it asks a peer, and the interval between such
// requests.
constexpr auto listAgeLimit = Duration(1s);
// Interval between requests to peers while the configuration is getting too old to check keys.
constexpr auto keyRetryInterval = Duration(400ms);

/// Age of the configuration at which an entry asks its peers: two fifths of the bound for keys.
constexpr auto keyAgeLimit(Duration bound) -> Duration { return 2 * bound / 5; }

} // namespace

/// Serves this entry's configuration and list of replicas to other entries.
class GatewayRole::Peer final : public wire::schema::EntryPeer::Server {
public:
    explicit Peer(GatewayRole& role)
        : role_(role)
    {
    }

    auto changes(ChangesContext context) -> kj::Promise<void> override
    {
        const auto& configuration = role_.configuration_.configuration();
        auto results = context.getResults();
        if (configuration && configuration->version.value() > context.getParams().getHaveConfig())
            results.setConfig(configuration->text);
        constexpr auto longestAge = std::numeric_limits<std::uint32_t>::max();
        auto list = results.initList();
        fillChanges(list, role_.directory_.changesSince(context.getParams().getHaveList()));
        const auto age = std::chrono::duration_cast<milliseconds>(role_.directory_.listAge()).count();
        list.setAgeMs(static_cast<std::uint32_t>(std::min<milliseconds::rep>(age, longestAge)));
        // Rounded up, so that the configuration does not appear newer than it is.
        const auto configAge = std::chrono::ceil<milliseconds>(role_.configuration_.age()).count();
        results.setConfigAgeMs(static_cast<std::uint32_t>(std::min<milliseconds::rep>(configAge, longestAge)));
        const auto& versions = role_.configuration_.versions();
        results.setVersions(versions.fingerprint());
        if (context.getParams().getHaveVersions() != versions.fingerprint())
            results.setAdapterVersions(versions.json(role_.loop_.timers().now()));
        return kj::READY_NOW;
    }

private:
    GatewayRole& role_;
};

GatewayRole::GatewayRole(wire::MainLoop& loop, GatewaySettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , metrics_(metricClasses)
    , deferred_(loop.timers())
    , store_(loop.timers(), settings_.host.store, storeCallCounter(metrics_), storeClockStepCounter(metrics_))
    , configuration_(loop, store_, { settings_.configurationBound, settings_.keyBound },
          { .onChange = [this] { onConfiguration(); },
              .onVersionInForce = [this](Duration age) { observeInForce("adapter version", age); },
              .onFutureConfirmation =
                  [this](std::string_view source) {
                      metrics_.count("eelgrass_confirmations_from_the_future_total",
                          { { "source", source == "store" ? "store" : "peer" } });
                  } })
    , directory_(loop, store_,
          { .entry = settings_.host.name,
              .zone = settings_.host.zone,
              .agentPort = settings_.host.agentPort,
              .drainBound = settings_.drainBound,
              .readerWeight = settings_.processorShare },
          { .onState = [this](Replica& replica) { onState(replica); },
              .onLeaving = [this](Duration age) { observeInForce("leaving", age); },
              .onListed = [this](const Replica& replica) { suspects_.startListed(replica); },
              .onGone = [this](const Replica& replica, bool over) { suspects_.startGone(replica, over); },
              .onNames = [this](const Replica& replica) { suspects_.applyPublished(*replica.agent()); },
              .onRateLimits = [this](const std::vector<ReplicaRateLimit>& limits,
                                  const Endpoint& agent) { rateLimits_.applyPublished(limits, agent); },
              .knownOrigin = [this](const StreamId& stream) { return origins_.known(stream); } })
    , suspects_(loop, directory_, metrics_)
    , quotas_(loop, directory_, settings_.quotas)
    , rateLimits_(loop, directory_, metrics_, settings_.host.name)
    , availability_(loop, directory_, metrics_, settings_.host)
    , unknownFields_(metrics_)
    , origins_(loop, directory_)
    , retryBudgets_(loop, directory_, settings_)
    , servedDemand_(metrics_)
    , serviceKeepers_(loop, directory_)
    , gateway_ { loop, settings_, configuration_, directory_, metrics_, deferred_, suspects_, quotas_, rateLimits_,
        availability_, unknownFields_, origins_, retryBudgets_, servedDemand_, serviceKeepers_ }
    , keyOutage_(metrics_)
    , peerSessions_(loop.timers())
    , peerQueries_(loop,
          { .fillQuery = [this](ReaderLink::Query query) { fillVersions(query); },
              .onAnswer = [this](ReaderLink::Answer answer, const Endpoint& peer,
                              Moment asked) { return applyPeerAnswer(answer, peer, asked); } })
    , reader_(loop, decisions::SharedReading(settings_.drainBound).sharedInterval(),
          { .fillQuery = [this](ReaderLink::Query query) { fillReaderQuery(query); },
              .onAnswer = [this](ReaderLink::Answer answer, const Endpoint& reader,
                              Moment asked) { applyReaderAnswer(answer, reader, asked); } })
    , readIntervals_(std::min(settings_.drainBound, settings_.configurationBound))
{
}

GatewayRole::~GatewayRole()
{
    const auto held = connections_;
    for (const auto& [raw, connection] : held)
        connection->abort();
}

auto GatewayRole::start() -> void
{
    clients_ = std::make_unique<wire::TcpListener>(
        settings_.clients.address, settings_.clients.port, [this](auto socket) { accept(std::move(socket)); });
    readiness_ = std::make_unique<TextServer>(loop_.timers(), settings_.readiness, [this](std::string_view) {
        constexpr auto unavailable = 503;
        return ready() ? TextServer::Answer { 200, "ready\n" } : TextServer::Answer { unavailable, "not ready\n" };
    });
    peers_ = std::make_unique<wire::Listener>(
        settings_.peers.address, settings_.peers.port, [this](kj::Own<wire::GlibStream> stream) {
            peerSessions_.add(std::make_unique<wire::Connection>(kj::mv(stream), kj::heap<Peer>(*this)));
        });
    // The port may have been chosen by the system; agents and peers get the actual one.
    settings_.peers.port = peers_->port();
    metricsServer_ = serveMetrics(loop_.timers(), { settings_.host.address, settings_.host.metricsPort }, metrics_);
    configuration_.start();
    peerCheckTimer_ = loop_.timers().every(peerCheckInterval, [this] {
        countEntries();
        rateLimits_.forgetRemoved();
        availability_.forgetEnded();
        servedDemand_.expire(loop_.timers().now());
        serviceKeepers_.expire();
        chooseReader();
        askPeers();
        keyOutage_.update(!needsKeys() || configuration_.keysUsable(), configuration_, loop_.timers().now());
    });
    log::info("listening",
        { { "port", std::to_string(clients_->port()) }, { "peer_port", std::to_string(peers_->port()) },
            { "version", EELGRASS_VERSION }, { "zone", settings_.host.zone.str() } });
}

auto GatewayRole::accept(wire::ObjectPtr<GSocket> socket) -> void
{
    const auto& configuration = configuration_.configuration();
    auto onRequest = [this](std::shared_ptr<CallerExchange> exchange, wire::HttpRequestMessage request) {
        std::make_shared<RequestRun>(gateway_, std::move(exchange), std::move(request))->start();
    };
    auto hooks = CallerConnection::Hooks { .onRequest = std::move(onRequest),
        .onClosed = [this](CallerConnection* closed) { connections_.erase(closed); },
        .onMisuse = [this] { metrics_.count("eelgrass_exchange_misuse_total", {}); } };
    auto connection = std::make_shared<CallerConnection>(
        loop_.timers(), std::move(socket), configuration ? configuration->limits : CallerLimits {}, std::move(hooks));
    connections_.emplace(connection.get(), connection);
    if (stop_)
        connection->closeSoon();
    connection->start();
}

auto GatewayRole::onConfiguration() -> void
{
    const auto& configuration = configuration_.configuration();
    for (const auto& [raw, connection] : connections_)
        connection->setLimits(configuration->limits);
    origins_.configure(configuration);
    directory_.configure(configuration, settings_.peers.str());
    // The list is not needed before the first configuration: until then no request is sent to a replica, and no agent
    // names a reader.
    if (!std::exchange(directoryStarted_, true))
        directory_.start();
    // If another entry has a still newer configuration, the next state update from an agent reports its version.
    behindSince_.reset();
}

/// Called for every update of every agent, so only that agent's state is examined.
auto GatewayRole::onState(Replica& replica) -> void
{
    availability_.applyPublished(replica);
    const auto& state = replica.agent()->state();
    const auto& configuration = configuration_.configuration();
    if (state.configVersion <= (configuration ? configuration->version : ConfigVersion()))
        return;
    const auto now = loop_.timers().now();
    if (!behindSince_)
        behindSince_ = now;
    const auto holder = parseEndpoint(state.configHolder);
    if (now - *behindSince_ > behindLimit && holder && *holder != settings_.peers && peerQueries_.idle())
        peerQueries_.ask(*holder, "behind");
}

auto GatewayRole::countEntries() -> void
{
    auto entries = std::size_t(0);
    for (const auto& [instance, replica] : directory_.all()) {
        if (replica->agent() && replica->agent()->alive())
            entries = std::max(entries, replica->agent()->state().entries);
    }
    // One more than the agents see, as an entry that they cannot see still uses its share.
    if (entries == 0 || entries + 1 == gateway_.entries)
        return;
    gateway_.entries = entries + 1;
    directory_.shareConnections(gateway_.entries);
}

auto GatewayRole::peersToAsk() const -> std::vector<Endpoint>
{
    auto peers = settings_.seeds;
    for (const auto& [instance, replica] : directory_.all()) {
        const auto* agent = replica->agent();
        const auto reader
            = agent && agent->isHub() && agent->alive() ? parseEndpoint(agent->state().reader) : std::nullopt;
        if (reader && std::find(peers.begin(), peers.end(), *reader) == peers.end())
            peers.push_back(*reader);
    }
    return peers;
}

auto GatewayRole::askPeers() -> void
{
    const auto knowsAll = configuration_.configuration() && directory_.loaded();
    const auto now = loop_.timers().now();
    // An entry that the store refuses gets configurations, and news of added and leaving replicas, from its peers.
    const auto listTooOld = directory_.storeLostSince() && now - *directory_.storeLostSince() > listAgeLimit
        && !directory_.readsSkipped();
    const auto keysTooOld = settings_.keyBound && !configuration_.members().empty()
        && configuration_.age() > keyAgeLimit(*settings_.keyBound);
    const auto due = now - peerAskedAt_ > (keysTooOld ? keyRetryInterval : listAgeLimit);
    if (knowsAll && !((listTooOld || keysTooOld) && due))
        return;
    const auto peers = peersToAsk();
    if (peers.empty())
        return;
    peerAskedAt_ = now;
    peerQueries_.askNext(peers, settings_.peers, knowsAll ? "store closed" : "nothing known");
}

auto GatewayRole::applyPeerAnswer(ReaderLink::Answer answer, const Endpoint& peer, Moment asked) -> bool
{
    const auto before = configuration_.age();
    applyConfiguration(answer, asked, peer.str());
    if (!directory_.loaded() || directory_.storeLostSince())
        applyList(answer, asked, peer.str());
    return configuration_.age() < before;
}

auto GatewayRole::chooseReader() -> void
{
    auto votes = std::map<std::string, std::size_t>();
    for (const auto& [instance, replica] : directory_.all()) {
        const auto* agent = replica->agent();
        if (agent && agent->isHub() && agent->inSameZone() && agent->alive() && !agent->state().reader.empty())
            ++votes[agent->state().reader];
    }
    const auto chosen = std::max_element(
        votes.begin(), votes.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    auto reader = chosen == votes.end() ? std::nullopt : parseEndpoint(chosen->first);
    const auto own = reader == settings_.peers;
    if (own)
        reader.reset();
    using Role = decisions::SharedReading::Role;
    const auto role = own ? Role::Reader : reader ? Role::Follower : Role::Alone;
    directory_.setReadingRole(role);
    configuration_.setReadingRole(role);
    if (reader_.reader() != reader)
        readerVersionsHash_ = 0;
    reader_.follow(reader);
}

auto GatewayRole::fillVersions(ReaderLink::Query query) const -> void
{
    const auto& configuration = configuration_.configuration();
    query.setHaveConfig(configuration ? configuration->version.value() : 0);
    query.setHaveList(directory_.knownVersion());
}

auto GatewayRole::fillReaderQuery(ReaderLink::Query query) const -> void
{
    fillVersions(query);
    query.setHaveVersions(readerVersionsHash_);
}

/// The list and the configuration are judged by separate ages: a reader with a recent list may have an old
/// configuration, and the other way round. Data that is too old does not suspend this entry's own reads.
auto GatewayRole::applyReaderAnswer(ReaderLink::Answer answer, const Endpoint& reader, Moment asked) -> void
{
    const auto now = loop_.timers().now();
    applyConfiguration(answer, asked, reader.str());
    readerVersionsHash_ = answer.getVersions();
    const auto skipUntil = [&](std::uint32_t ageMs) {
        return readIntervals_.coveredUntil(now, Duration(milliseconds(ageMs)) + (now - asked));
    };
    if (const auto until = skipUntil(answer.getConfigAgeMs()); until > now && configuration_.configuration())
        configuration_.skipPollsUntil(until);
    if (Duration(milliseconds(answer.getList().getAgeMs())) > readIntervals_.sharedInterval())
        reader_.askSoon();
    const auto until = skipUntil(answer.getList().getAgeMs());
    if (until <= now)
        return;
    applyList(answer, asked, reader.str());
    directory_.skipReadsUntil(until);
}

auto GatewayRole::applyList(ReaderLink::Answer answer, Moment asked, const std::string& peer) -> void
{
    const auto list = answer.getList();
    const auto age = Duration(milliseconds(list.getAgeMs())) + (loop_.timers().now() - asked);
    directory_.applyPeerChanges(readChanges(list), age, peer);
}

auto GatewayRole::applyConfiguration(ReaderLink::Answer answer, Moment asked, const std::string& peer) -> void
{
    const auto heardAt = asked - Duration(milliseconds(answer.getConfigAgeMs()));
    if (configuration_.applyFromPeer(answer.getConfig().cStr(), heardAt, peer))
        observeInForce("configuration", loop_.timers().now() - heardAt);
    if (answer.getAdapterVersions().size() > 0)
        configuration_.applyAdapterVersions(answer.getAdapterVersions().cStr(), peer, asked);
}

auto GatewayRole::observeInForce(const std::string& what, Duration age) -> void
{
    metrics_.observe("eelgrass_in_force_seconds", { { "what", what } }, age);
}

/// An entry that cannot check keys refuses every request that needs one, so it reports not ready and new connections go
/// to entries that can.
auto GatewayRole::ready() const -> bool
{
    const auto serves = !needsKeys() || configuration_.keysUsable();
    return !stop_ && configuration_.configuration() && directory_.loaded() && serves;
}

auto GatewayRole::reload(const GatewaySettings& settings) -> void
{
    settings_.seeds = settings.seeds;
    settings_.retries = settings.retries;
    retryBudgets_.applyBounds();
    settings_.grace = settings.grace;
    settings_.zonePenalty = settings.zonePenalty;
    settings_.zonePenaltyPerKiB = settings.zonePenaltyPerKiB;
    log::info("settings reloaded", { { "seeds", std::to_string(settings_.seeds.size()) } });
}

auto GatewayRole::stop() -> void
{
    if (!stop_)
        stop_ = std::make_unique<GatewayStop>(gateway_, connections_, *clients_);
}

} // namespace eelgrass::serving
