#include "serving/KeyOutage.h"

#include "base/DurationText.h"
#include "base/Log.h"

namespace eelgrass::serving {

KeyOutage::KeyOutage(router::Metrics& metrics)
    : metrics_(metrics)
{
}

auto KeyOutage::update(bool usable, const ConfigurationFollower& configuration, Moment now) -> void
{
    if (usable && !beganAt_)
        return;
    const auto& last = configuration.confirmation();
    if (!beganAt_) {
        beganAt_ = countedUntil_ = now;
        log::warn("keys not confirmed",
            { { "configuration_age_ms", millisecondsText(configuration.age()) }, { "source", last.source },
                { "clock", std::string(last.clock) } });
        return;
    }
    const auto passed = std::chrono::duration<double>(now - std::exchange(countedUntil_, now));
    metrics_.count("eelgrass_keys_not_confirmed_seconds_total", {}, passed.count());
    if (!usable)
        return;
    log::info("keys confirmed again",
        { { "outage_ms", millisecondsText(now - *beganAt_) }, { "source", last.source },
            { "clock", std::string(last.clock) } });
    beganAt_.reset();
}

} // namespace eelgrass::serving
