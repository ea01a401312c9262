#pragma once

#include "serving/AgentRole.h"

#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace eelgrass::serving {

/// The session of one entry with an agent. When the session ends, everything granted to the entry is released.
class AgentRole::Session final : public wire::schema::AgentSession::Server {
public:
    /// `connection` is closed to end the session.
    Session(AgentRole& role, wire::ConnectionSet::Id connection, std::string entry, bool sameZone);
    ~Session() noexcept(false);
    KJ_DISALLOW_COPY(Session);

    /// Takes over a request that the entry has sent to the replica before this session began, from the entry's earlier
    /// session if the agent has not noticed the end of that yet.
    auto adopt(wire::schema::RunningRequest::Reader running) -> void;
    [[nodiscard]] auto connection() const noexcept -> wire::ConnectionSet::Id { return connection_; }
    [[nodiscard]] auto entry() const noexcept -> const std::string& { return entry_; }

    auto admit(AdmitContext context) -> kj::Promise<void> override;
    auto started(StartedContext context) -> kj::Promise<void> override;
    auto release(ReleaseContext context) -> kj::Promise<void> override;
    auto configured(ConfiguredContext context) -> kj::Promise<void> override;
    auto noteCrashes(NoteCrashesContext context) -> kj::Promise<void> override;
    auto takeProbe(TakeProbeContext context) -> kj::Promise<void> override;
    auto noteService(NoteServiceContext context) -> kj::Promise<void> override;
    auto findService(FindServiceContext context) -> kj::Promise<void> override;
    auto takeQuota(TakeQuotaContext context) -> kj::Promise<void> override;
    auto noteQuota(NoteQuotaContext context) -> kj::Promise<void> override;
    auto noteRateLimit(NoteRateLimitContext context) -> kj::Promise<void> override;
    auto takePermit(TakePermitContext context) -> kj::Promise<void> override;
    auto takeRetry(TakeRetryContext context) -> kj::Promise<void> override;
    auto noteLeaving(NoteLeavingContext context) -> kj::Promise<void> override;
    auto noteHostRest(NoteHostRestContext context) -> kj::Promise<void> override;
    auto returnPermit(ReturnPermitContext context) -> kj::Promise<void> override;
    auto findStreamOrigin(FindStreamOriginContext context) -> kj::Promise<void> override;

private:
    [[nodiscard]] auto role() const -> AgentRole& { return reach(role_); }
    [[nodiscard]] auto requiredVersion(wire::schema::AdmitRequest::Reader request) const -> RequiredVersion;

    std::weak_ptr<AgentRole> role_;
    wire::ConnectionSet::Id connection_;
    std::string entry_;
    bool sameZone_;
    std::set<AttemptId> attempts_;
    /// Shares of the retry reserves that the entry takes this agent to keep.
    std::size_t retryShares_ = 0;
};

} // namespace eelgrass::serving
