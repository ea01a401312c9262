#pragma once

#include "base/Subscribers.h"
#include "decisions/CrashLedger.h"
#include "router/Metrics.h"
#include "serving/ContentNames.h"
#include "wire/MainLoop.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::serving {

/// Logs and counts what is refused from now on because it crashes replicas, and what is not any more, and tells
/// subscribers of new refusals. `source` says where the news came from.
///
/// Changes are looked for once all that is known now has been applied: a publication brings many reports.
class RefusalLog {
public:
    RefusalLog(
        wire::MainLoop& loop, const decisions::CrashLedger& ledger, const ContentNames& names, router::Metrics& metrics)
        : loop_(loop)
        , ledger_(ledger)
        , names_(names)
        , metrics_(metrics)
    {
    }

    /// The verdict on the request may have changed.
    auto requestChanged(decisions::RequestDigest request, std::string_view source) -> void;
    /// The verdicts on what requests share may have changed.
    auto contentsChanged(std::string_view source) -> void;
    /// Refusals may have ended with time.
    auto timePassed() -> void;
    /// Told when something is refused from now on.
    auto onRefusal() noexcept -> Subscribers& { return onRefusal_; }

private:
    [[nodiscard]] auto now() const -> Moment { return loop_.timers().now(); }
    /// Looks again once the reports of the last change count.
    auto lookWhenSettled() -> void;
    auto logRequest(decisions::RequestDigest request, std::string_view source) -> void;
    auto logContents(std::string_view source) -> void;
    auto logBegin(const decisions::Culprit& culprit, std::string_view source) -> void;
    auto logEnd(const std::vector<decisions::SharedHash>& together, std::string_view source) -> void;

    wire::MainLoop& loop_;
    const decisions::CrashLedger& ledger_;
    const ContentNames& names_;
    router::Metrics& metrics_;
    Subscribers onRefusal_;
    /// Requests that were logged as refused.
    std::set<decisions::RequestDigest> requests_;
    /// The same for what requests share: each is refused together with the others of its set.
    std::set<std::vector<decisions::SharedHash>> contents_;
    /// Requests whose verdict may have changed, and from whom the news came.
    std::map<decisions::RequestDigest, std::string> changed_;
    Timer changeTimer_;
    Moment changedAt_ {};
    Timer settledTimer_;
};

} // namespace eelgrass::serving
