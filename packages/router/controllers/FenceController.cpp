#include "router/controllers/FenceController.h"

#include "base/Log.h"
#include "base/Secrets.h"

#include <algorithm>
#include <random>
#include <utility>

namespace eelgrass::router {

namespace {

// A whole zone of target processes starts at once, perhaps while the platform is away: at a fixed half second 440 of
// them would ask as much as the platform can read. They back off to one try in four seconds, out of step.
constexpr auto retryDelay = Duration(500ms);
constexpr auto longestRetryDelay = Duration(4s);
constexpr auto ownerBytes = std::size_t(8);
// An earlier owner may have sent an order just before it was stopped, and an engine that ignores the number would carry
// it out. It sends none after a pause that it notices; so the newcomer waits out the longest pause that goes unnoticed
// and the way to the engine, and only then reads what is loaded.
constexpr auto unnoticedOrder = PauseWatch::limit + Duration(500ms);

} // namespace

FenceController::FenceController(
    wire::MainLoop& loop, platform::PlatformClient& platform, TargetId target, bool honoured)
    : loop_(loop)
    , platform_(platform)
    , key_("epoch/" + target.str())
    , honoured_(honoured)
    , watch_(loop.timers())
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
            if (raised) {
                confirmed_ = watch_.count();
                return honoured_ ? kj::Promise<void>(kj::READY_NOW) : loop_.sleep(unnoticedOrder);
            }
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

auto FenceController::confirm() -> kj::Promise<bool>
{
    if (superseded_)
        return false;
    if (watch_.count() == confirmed_)
        return true;
    if (!honoured_)
        return check();
    // The engine refuses an old number by itself, so the order need not wait for the platform.
    loop_.spawn(check().ignoreResult());
    return true;
}

auto FenceController::check() -> kj::Promise<bool>
{
    const auto pauses = watch_.count();
    return platform_.read(key_).then(
        [this, pauses](platform::Row row) -> kj::Promise<bool> {
            if (row.value.value("owner", "") == owner_) {
                confirmed_ = std::max(confirmed_, pauses);
                // Another pause while the row was read makes the answer old.
                return confirm();
            }
            if (!std::exchange(superseded_, true)) {
                log::error("superseded", { { "step", "platform" }, { "epoch", std::to_string(epoch_.value()) } });
                if (onSuperseded_)
                    onSuperseded_();
            }
            return false;
        },
        [this](kj::Exception&&) { return loop_.sleep(retryDelay).then([this] { return check(); }); });
}

} // namespace eelgrass::router
