#include "router/controllers/FenceController.h"

#include "base/Log.h"
#include "base/Secrets.h"

#include <algorithm>
#include <random>
#include <utility>

namespace eelgrass::router {

namespace {

// All target processes of a zone may start at once, perhaps while the platform is unavailable. Retrying at a fixed
// interval of half a second, 440 processes would use the platform's whole read capacity. The processes therefore back
// off, with jitter, to one try every four seconds.
constexpr auto retryDelay = Duration(500ms);
constexpr auto longestRetryDelay = Duration(4s);
constexpr auto ownerBytes = std::size_t(8);
// Wait before a new owner reads the engine's state, if the engine ignores epochs. The earlier owner may have sent an
// order just before it was stopped, and such an engine would carry it out. The earlier owner sends no order after a
// pause that it detects, so the wait covers the longest undetected pause and the time that an order needs to reach the
// engine.
constexpr auto takeoverDelay = PauseDetector::limit + Duration(500ms);

} // namespace

FenceController::FenceController(
    wire::MainLoop& loop, platform::PlatformClient& platform, TargetId target, bool engineRejectsStale)
    : loop_(loop)
    , platform_(platform)
    , key_("epoch/" + target.str())
    , engineRejectsStale_(engineRejectsStale)
    , pauseDetector_(loop.timers())
    , owner_(randomHex(ownerBytes))
    , retrySchedule_(retryDelay, longestRetryDelay, std::random_device()())
{
}

auto FenceController::raise() -> kj::Promise<void>
{
    return tryRaise()
        .catch_([](kj::Exception&& lost) {
            log::warn("cannot raise epoch, will retry",
                { { "step", "platform" }, { "reason", lost.getDescription().cStr() } });
            return false;
        })
        .then([this](bool raised) -> kj::Promise<void> {
            if (raised) {
                confirmedPauses_ = pauseDetector_.count();
                return engineRejectsStale_ ? kj::Promise<void>(kj::READY_NOW) : loop_.sleep(takeoverDelay);
            }
            return loop_.sleep(retrySchedule_.next(decisions::PollSchedule::Outcome::Failed)).then([this] {
                return raise();
            });
        });
}

auto FenceController::tryRaise() -> kj::Promise<bool>
{
    return platform_.read(key_).then([this](platform::Row row) -> kj::Promise<bool> {
        if (row.version > 0 && row.value.value("owner", "") == owner_) {
            // An earlier attempt succeeded and only its answer was lost.
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

auto FenceController::confirmOwnership() -> kj::Promise<bool>
{
    if (superseded_)
        return false;
    if (pauseDetector_.count() == confirmedPauses_)
        return true;
    if (!engineRejectsStale_)
        return verifyOwner();
    // The engine refuses stale epochs itself, so the order need not wait for the platform.
    loop_.spawn(verifyOwner().ignoreResult());
    return true;
}

auto FenceController::verifyOwner() -> kj::Promise<bool>
{
    const auto pauses = pauseDetector_.count();
    return platform_.read(key_).then(
        [this, pauses](platform::Row row) -> kj::Promise<bool> {
            if (row.value.value("owner", "") == owner_) {
                confirmedPauses_ = std::max(confirmedPauses_, pauses);
                // Another pause while the row was read would make the answer stale, so the pause count is checked
                // again.
                return confirmOwnership();
            }
            if (!std::exchange(superseded_, true)) {
                log::error("superseded", { { "step", "platform" }, { "epoch", std::to_string(epoch_.value()) } });
                if (onSuperseded_)
                    onSuperseded_();
            }
            return false;
        },
        [this](kj::Exception&&) { return loop_.sleep(retryDelay).then([this] { return verifyOwner(); }); });
}

} // namespace eelgrass::router
