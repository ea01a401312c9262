#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace eelgrass::decisions {

/// What one share of a service's retry reserve allows.
struct ReserveTerms {
    /// Retries per window.
    double perShare = 0;
    Duration window {};
    /// Time within which all entries learn that another agent keeps a share.
    Duration handover {};
};

/// A decision on a retry from a reserve, with the figures that it is based on.
struct ReserveDecision {
    bool granted = false;
    /// Retries granted in the last window, without this one, and how many it allows.
    std::size_t retries = 0;
    double allowed = 0;
    /// Time until a retry can be granted, if this one was not.
    Duration spentFor {};
};

/// The shares of the services' retry reserves that one agent keeps.
///
/// Designed for requests that fail when few requests have been received, while entries are killed, restarted or out of
/// each other's sight. Each share has one agent, and what it has granted in the last window is all that counts, however
/// many entries ask and whichever of them are still there.
///
/// An agent doesn't know what its predecessor has granted: its own process before this one, or the agent that kept the
/// share before. A share therefore grants nothing until a window has passed since it was assigned. The exception are
/// shares that are assigned at the first start of the whole deployment.
///
/// ```cpp
/// reserve.assign(0, shares, now);
/// if (reserve.take(service, terms, now).granted) ...
/// ```
template <typename Service> class RetryReserve {
public:
    /// Shares of a reserve; each is kept by another agent, as far as there are agents.
    static constexpr auto shares = std::size_t(4);

    RetryReserve(Moment startedAt, bool firstStart) noexcept
        : startedAt_(startedAt)
        , firstStart_(firstStart)
    {
    }

    /// Applies the number of shares that an entry takes this agent to keep; it took it to keep `before` until now. What
    /// one entry takes away has gone to another agent, and counts as new if it comes back.
    auto assign(std::size_t before, std::size_t count, Moment now) -> void
    {
        if (count < before && count < assignedAt_.size())
            assignedAt_.resize(count);
        while (assignedAt_.size() < std::min(count, shares))
            assignedAt_.push_back(now);
    }

    /// Counts the retry if it is granted.
    [[nodiscard]] auto take(const Service& service, const ReserveTerms& terms, Moment now) -> ReserveDecision
    {
        auto& granted = granted_[service];
        while (!granted.empty() && granted.front() + terms.window < now)
            granted.pop_front();
        auto allowed = 0.0;
        auto nextChange = Duration::max();
        for (const auto assignedAt : assignedAt_) {
            const auto usableAt = usableFrom(assignedAt, terms);
            if (usableAt <= now)
                allowed += terms.perShare;
            else
                nextChange = std::min(nextChange, usableAt - now);
        }
        auto decision = ReserveDecision { .retries = granted.size(), .allowed = allowed };
        decision.granted = static_cast<double>(granted.size()) + 1 <= allowed;
        if (decision.granted)
            granted.push_back(now);
        else if (!granted.empty())
            nextChange = std::min(nextChange, granted.front() + terms.window - now);
        decision.spentFor = decision.granted ? Duration(0) : std::min(nextChange, terms.window);
        return decision;
    }

private:
    [[nodiscard]] auto usableFrom(Moment assignedAt, const ReserveTerms& terms) const noexcept -> Moment
    {
        if (firstStart_ && assignedAt - startedAt_ <= terms.window)
            return assignedAt;
        return assignedAt + terms.handover + terms.window;
    }

    Moment startedAt_;
    bool firstStart_;
    /// When each share was assigned.
    std::vector<Moment> assignedAt_;
    std::map<Service, std::deque<Moment>> granted_;
};

} // namespace eelgrass::decisions
