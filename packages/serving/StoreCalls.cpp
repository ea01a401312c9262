#include "serving/StoreCalls.h"

#include "base/DurationText.h"
#include "base/Log.h"

namespace eelgrass::serving {

namespace {

auto nameOf(hosting::StoreCall::Kind kind) -> std::string
{
    switch (kind) {
    case hosting::StoreCall::Kind::Read:
        return "read";
    case hosting::StoreCall::Kind::Follow:
        return "follow";
    case hosting::StoreCall::Kind::Write:
        break;
    }
    return "write";
}

auto nameOf(hosting::StoreOutcome outcome) -> std::string
{
    switch (outcome) {
    case hosting::StoreOutcome::Done:
        return "done";
    case hosting::StoreOutcome::HistoryGone:
        return "history_gone";
    case hosting::StoreOutcome::Conflict:
        return "conflict";
    case hosting::StoreOutcome::Refused:
        return "refused";
    case hosting::StoreOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

auto storeCallCounter(router::Metrics& metrics) -> hosting::Store::OnCall
{
    return [&metrics](const hosting::StoreCall& call) {
        const auto kind = nameOf(call.kind);
        const auto table = std::string(call.table);
        metrics.count("eelgrass_store_calls_total",
            { { "call", kind }, { "table", table }, { "outcome", nameOf(call.outcome) } });
        metrics.count(
            "eelgrass_store_bytes_total", { { "call", kind }, { "table", table } }, static_cast<double>(call.bytes));
    };
}

auto storeClockStepCounter(router::Metrics& metrics) -> hosting::Store::OnClockStep
{
    return [&metrics](Duration step) {
        log::warn("store clock not steady", { { "step_ms", millisecondsText(step) } });
        metrics.count("eelgrass_store_clock_steps_total", { { "to", step > Duration(0) ? "ahead" : "back" } });
    };
}

} // namespace eelgrass::serving
