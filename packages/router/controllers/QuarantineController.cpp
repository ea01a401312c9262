#include "router/controllers/QuarantineController.h"

#include "base/Log.h"

#include <utility>

namespace eelgrass::router {

namespace {

constexpr auto prefix = "quarantine/";
// Target processes push a crash to the entries connected to them. The rows rarely change and serve entries that start
// later.
constexpr auto pollPeriod = Duration(2s);

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

auto QuarantineController::poll() -> kj::Promise<void>
{
    return platform_.list(prefix).then([this](const std::vector<platform::Row>& rows) {
        for (const auto& row : rows)
            quarantine_.learn(row.key.substr(std::string_view(prefix).size()), decisions::Quarantine::limit);
    });
}

auto QuarantineController::recordCrash(const std::string& digest, std::uint32_t before) -> bool
{
    const auto crashes = quarantine_.crashed(digest, before);
    log::warn("engine died during a request",
        { { "step", "engine" }, { "digest", digest }, { "crashes", std::to_string(crashes) } });
    if (crashes < decisions::Quarantine::limit)
        return false;
    persist(digest);
    return true;
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
    for (const auto suspect : state.getSuspects())
        quarantine_.learn(std::string(suspect.getDigest()), suspect.getCrashes());
}

} // namespace eelgrass::router
