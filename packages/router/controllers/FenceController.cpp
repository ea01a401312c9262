#include "router/controllers/FenceController.h"

#include "base/Log.h"
#include "base/Secrets.h"

#include <random>

namespace eelgrass::router {

namespace {

// A whole zone of target processes starts at once, perhaps while the platform is away: at a fixed half second 440 of
// them would ask as much as the platform can read. They back off to one try in four seconds, out of step.
constexpr auto retryDelay = Duration(500ms);
constexpr auto longestRetryDelay = Duration(4s);
constexpr auto ownerBytes = std::size_t(8);

} // namespace

FenceController::FenceController(wire::MainLoop& loop, platform::PlatformClient& platform, TargetId target)
    : loop_(loop)
    , platform_(platform)
    , key_("epoch/" + target.str())
    , owner_(randomHex(ownerBytes))
    , retries_(retryDelay, longestRetryDelay, std::random_device()())
{
}

auto FenceController::raise() -> kj::Promise<void>
{
    return tryRaise()
        .catch_([](kj::Exception&& lost) {
            log::warn("epoch not raised yet", { { "step", "platform" }, { "reason", lost.getDescription().cStr() } });
            return false;
        })
        .then([this](bool raised) -> kj::Promise<void> {
            if (raised)
                return kj::READY_NOW;
            return loop_.sleep(retries_.next(decisions::PollSchedule::Outcome::Failed)).then([this] {
                return raise();
            });
        });
}

auto FenceController::tryRaise() -> kj::Promise<bool>
{
    return platform_.read(key_).then([this](platform::Row row) -> kj::Promise<bool> {
        if (row.version > 0 && row.value.value("owner", "") == owner_) {
            // An earlier try took effect and only its answer was lost.
            epoch_ = Epoch(row.version);
            return true;
        }
        auto transaction = platform::Transaction();
        transaction.require = { { key_, row.version } };
        transaction.write = { { key_, { { "owner", owner_ } } } };
        return platform_.commit(std::move(transaction)).then([this, version = row.version](bool committed) {
            if (committed)
                epoch_ = Epoch(version + 1);
            return committed;
        });
    });
}

} // namespace eelgrass::router
