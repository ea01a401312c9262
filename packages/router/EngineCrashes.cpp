#include "router/EngineCrashes.h"

#include "base/TextHash.h"

namespace eelgrass::router {

using decisions::CrashEvidence;
using decisions::RunContent;
using decisions::StartHash;

auto EngineCrashes::contentOf(const std::string& digest, const ModelName& model) -> RunContent
{
    auto content = RunContent { .request = decisions::RequestDigest(hashText(0, digest)) };
    if (!model.empty())
        content.shared.push_back(decisions::heldByAll(hashText(0, model.view())));
    return content;
}

auto EngineCrashes::numberOf(const std::string& incarnation) -> std::uint64_t { return hashText(0, incarnation); }

auto EngineCrashes::startOf(const TargetId& target, std::uint64_t engineStart) -> StartHash
{
    return StartHash(hashText(engineStart, target.view()));
}

auto EngineCrashes::record(const RunContent& content, StartHash start, bool alone, Moment now) -> void
{
    const auto count = std::uint8_t(alone ? 2 : 1);
    for (auto before = std::uint8_t(0); before < count; ++before)
        apply({ content.request, start, before, CrashEvidence::Crashed, now, content.shared }, now);
}

auto EngineCrashes::succeeded(const RunContent& content, Moment begunAt, Moment now) -> void
{
    (void)ledger_.ranWhole(content.shared, begunAt, now);
    if (!ledger_.verdict(content.request, now).refused)
        (void)ledger_.clear(content.request, now);
}

auto EngineCrashes::crashes(const RunContent& content, Moment now) const -> std::uint32_t
{
    return static_cast<std::uint32_t>(ledger_.verdict(content.request, now).crashes);
}

} // namespace eelgrass::router
