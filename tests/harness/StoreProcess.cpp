#include "tests/harness/StoreProcess.h"

namespace eelgrass::tests {

namespace {

// Longer than any test stops the store.
constexpr auto patience = Duration(30s);

} // namespace

StoreProcess::StoreProcess(wire::MainLoop& loop, std::size_t cores)
    : loop_(loop)
    , cores_(cores)
    , process_("store", "eelgrass-standin", { "--kind=store" })
    , port_(process_.listeningPort())
    , calls_(loop.timers(), "127.0.0.1", port_)
{
    cores_.lift();
}

auto StoreProcess::call(const std::string& target, std::string body) -> kj::Promise<wire::HttpAnswer>
{
    return calls_.call({ .method = "POST", .target = target, .body = std::move(body), .timeout = patience });
}

auto StoreProcess::tell(const std::string& target) -> void { loop_.spawn(call(target).ignoreResult()); }

auto StoreProcess::put(const std::string& table, const std::string& key, const std::string& value,
    std::function<void(Moment)> onAcknowledged) -> void
{
    loop_.spawn(call("/standin/put?table=" + table + "&key=" + key, value)
                    .then([this, onAcknowledged = std::move(onAcknowledged)](wire::HttpAnswer&&) {
                        if (onAcknowledged)
                            onAcknowledged(loop_.timers().now());
                    }));
}

auto StoreProcess::putNow(const std::string& table, const std::string& key, const std::string& value) -> Moment
{
    loop_.wait(call("/standin/put?table=" + table + "&key=" + key, value));
    return loop_.timers().now();
}

auto StoreProcess::shiftClock(std::chrono::milliseconds shift) -> void
{
    tell("/standin/shift-clock?ms=" + std::to_string(shift.count()));
}

auto StoreProcess::answerAfter(std::chrono::milliseconds delay) -> void
{
    tell("/standin/slow?ms=" + std::to_string(delay.count()));
}

auto StoreProcess::suspendAsker(int pid, std::chrono::milliseconds time, int polls) -> void
{
    tell("/standin/suspend-asker?pid=" + std::to_string(pid) + "&ms=" + std::to_string(time.count())
        + "&polls=" + std::to_string(polls));
}

auto StoreProcess::settle() -> void { loop_.wait(call("/standin/settle").ignoreResult()); }

} // namespace eelgrass::tests
