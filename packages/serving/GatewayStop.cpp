#include "serving/GatewayStop.h"

#include "base/DurationText.h"
#include "base/Log.h"

#include <map>

namespace eelgrass::serving {

namespace {

constexpr auto checkInterval = Duration(100ms);
constexpr auto reportInterval = Duration(1s);

} // namespace

GatewayStop::GatewayStop(GatewayContext& gateway, const Connections& connections, wire::TcpListener& listener)
    : gateway_(gateway)
    , connections_(connections)
    , listener_(listener)
    , schedule_(gateway.now(), gateway.settings.grace)
    , reportedAt_(gateway.now())
{
    gateway_.stop = schedule_;
    log::info("stopping", { { "connections", std::to_string(connections_.size()) } });
    const auto held = connections_;
    for (const auto& [raw, connection] : held)
        connection->closeSoon();
    timer_ = gateway_.loop.timers().every(checkInterval, [this] { check(); });
}

auto GatewayStop::check() -> void
{
    const auto now = gateway_.now();
    if (now - reportedAt_ >= reportInterval) {
        reportedAt_ = now;
        reportOpen();
    }
    if (now < schedule_.closesIdleAt())
        return;
    // If too few entries of a zone are ready, the platform keeps sending connections; a client whose connection is
    // refused tries another entry at once.
    if (now >= schedule_.acceptsUntil())
        listener_.close();
    closeIdle();
    if (now >= schedule_.requestsEnd())
        endRequests();
    // The last connections that the kernel has completed may bring requests.
    if (connections_.empty())
        listener_.close();
    if (connections_.empty() || now >= schedule_.processEnds())
        end();
}

auto GatewayStop::closeIdle() -> void
{
    const auto held = connections_;
    for (const auto& [raw, connection] : held)
        connection->closeIfIdle();
}

auto GatewayStop::endRequests() -> void
{
    const auto held = connections_;
    for (const auto& [raw, connection] : held)
        connection->endRequest();
}

auto GatewayStop::reportOpen() const -> void
{
    auto counts = std::map<CallerStage, std::size_t>();
    for (const auto& [raw, connection] : connections_)
        ++counts[connection->stage()];
    const auto at = [&](CallerStage stage) { return std::to_string(counts[stage]); };
    log::info("stop waits",
        { { "left_ms", millisecondsText(schedule_.requestsEnd() - gateway_.now()) }, { "idle", at(CallerStage::Idle) },
            { "half_read", at(CallerStage::HalfRead) }, { "waiting", at(CallerStage::Waiting) },
            { "searching", at(CallerStage::Searching) }, { "at_work", at(CallerStage::AtWork) },
            { "silent", at(CallerStage::Silent) }, { "ending", at(CallerStage::Ending) } });
}

auto GatewayStop::end() -> void
{
    timer_.cancel();
    auto cut = std::size_t(0);
    for (const auto& [raw, connection] : connections_) {
        if (!connection->owesAnswer())
            continue;
        ++cut;
        connection->cutOff();
    }
    log::info("stopped", { { "cut", std::to_string(cut) } });
    gateway_.loop.quitWhenFlushed();
}

} // namespace eelgrass::serving
