#include "router/controllers/QuarantineController.h"

#include "base/Log.h"

#include <utility>

namespace eelgrass::router {

namespace {

constexpr auto prefix = "quarantine/";
// Target processes push a crash to the entries connected to them. The rows rarely change and serve entries that start
// later.
constexpr auto pollPeriod = Duration(2s);
constexpr auto requestReason = std::string_view("this request crashed two engines and is not run again");
constexpr auto weightsReason = std::string_view("requests with these weights crash engines");

} // namespace

QuarantineController::QuarantineController(wire::MainLoop& loop, platform::PlatformClient& platform)
    : loop_(loop)
    , platform_(platform)
{
}

auto QuarantineController::start() -> void
{
    auto tick = [this] {
        if (std::exchange(polling_, true))
            return;
        loop_.spawn(poll().catch_([](kj::Exception&&) {}).then([this] { polling_ = false; }));
    };
    timer_ = loop_.timers().every(pollPeriod, tick);
    tick();
}

auto QuarantineController::requestOf(std::string digest, const ModelName& model) -> Request
{
    auto content = EngineCrashes::contentOf(digest, model);
    return { std::move(digest), std::move(content) };
}

auto QuarantineController::poll() -> kj::Promise<void>
{
    crashes_.expire(now());
    return platform_.list(prefix).then([this](const std::vector<platform::Row>& rows) {
        for (const auto& row : rows)
            applyRow(row.key.substr(std::string_view(prefix).size()));
    });
}

auto QuarantineController::applyRow(const std::string& digest) -> void
{
    const auto content = EngineCrashes::contentOf(digest, {});
    if (crashes_.crashes(content, now()) >= decisions::CrashLedger::limit)
        return;
    for (auto start = std::uint64_t(0); start < decisions::CrashLedger::limit; ++start)
        crashes_.record(content, EngineCrashes::startOf(TargetId(digest), start), false, now());
}

auto QuarantineController::recordCrash(const Request& request, const TargetId& target, std::uint64_t engineStart,
    bool alone) -> std::optional<std::string_view>
{
    crashes_.record(request.content, EngineCrashes::startOf(target, engineStart), alone, now());
    const auto refused = refusal(request);
    log::warn("engine died during a request",
        { { "step", "engine" }, { "peer", target.str() }, { "digest", request.digest },
            { "crashes", std::to_string(crashes(request)) }, { "alone", alone ? "yes" : "no" },
            { "refused", std::string(refused.value_or("")) } });
    if (refused == requestReason)
        persist(request.digest);
    return refused;
}

auto QuarantineController::recordSuccess(const Request& request, Moment begunAt) -> void
{
    crashes_.succeeded(request.content, begunAt, now());
}

auto QuarantineController::crashes(const Request& request) const -> std::uint32_t
{
    return crashes_.crashes(request.content, now());
}

auto QuarantineController::refusal(const Request& request) -> std::optional<std::string_view>
{
    for (const auto& refusal : crashes_.refusals(request.content, now())) {
        if (refusal.shared.empty())
            return requestReason;
        if (now() < refusal.probeFrom || !probes_.take(refusal.key, now()))
            return weightsReason;
    }
    return std::nullopt;
}

auto QuarantineController::persist(const std::string& digest) -> void
{
    auto transaction = platform::Transaction();
    transaction.write = { { prefix + digest, platform::Json::object() } };
    loop_.spawn(platform_.commit(std::move(transaction)).ignoreResult().catch_([](kj::Exception&& lost) {
        log::warn("quarantine not saved", { { "step", "platform" }, { "reason", lost.getDescription().cStr() } });
    }));
}

auto QuarantineController::update(wire::schema::TargetState::Reader state) -> void
{
    const auto target = TargetId(state.getTarget().cStr());
    for (const auto crash : state.getEngineCrashes()) {
        auto report = decisions::CrashReport { decisions::RequestDigest(crash.getRequest()),
            EngineCrashes::startOf(target, crash.getEngineStart()), crash.getBefore(),
            decisions::CrashEvidence::Crashed, now() - std::chrono::milliseconds(crash.getAgeMs()) };
        if (crash.getWeights() != 0)
            report.shared.emplace_back(crash.getWeights());
        crashes_.apply(report, now());
    }
}

} // namespace eelgrass::router
