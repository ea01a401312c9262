#pragma once

#include "decisions/CrashReport.h"
#include "serving/Types.h"
#include "wire/HttpHead.h"

#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::serving {

/// Something that different requests may hold, under the name that logs and metrics give it.
struct SharedContent {
    decisions::SharedHash hash;
    /// A part of the prompt, a member's part or an adapter's version.
    std::string_view what;
    std::string name;
};

/// What a run of a request holds that may crash its replica.
///
/// Every part of the prompt but the last can be in other requests too. A part counts for all members, and for its
/// member alone: as long as one member's requests are all that crash, others' requests with the part are not refused
/// for it.
struct RequestContent {
    decisions::RunContent run;
    std::vector<SharedContent> shared;

    /// The parts' ids in the order of the prompt, for log lines.
    [[nodiscard]] auto partsText() const -> std::string;

    static constexpr auto partKind = std::string_view("part");
};

/// `version` is that of the adapter that the request is to run on.
[[nodiscard]] auto contentOf(const wire::HttpRequestMessage& request, const RequestMetadata& metadata,
    const MemberId& member, AdapterVersion version) -> RequestContent;

/// Hash of a request's content and caller: what a replica would run, and for which member. The query is a part of the
/// content only of requests without a body, since clients vary it without changing what a body asks for. Another
/// adapter is another computation.
[[nodiscard]] auto digestOf(const wire::HttpRequestMessage& request, const RequestMetadata& metadata,
    const MemberId& member) -> decisions::RequestDigest;

} // namespace eelgrass::serving
