#pragma once

#include "decisions/CrashReport.h"
#include "serving/RequestContent.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace eelgrass::serving {

/// What the hashes of shared contents stand for, for logs and metrics. The ones learnt first are forgotten first.
class ContentNames {
public:
    struct Name {
        /// A part of the prompt, a member's part or an adapter's version.
        std::string what;
        std::string name;
    };

    auto learn(const RequestContent& content) -> void;
    /// The hash itself for one that this process has never met in a request.
    [[nodiscard]] auto of(decisions::SharedHash hash) const -> Name;

private:
    static constexpr auto capacity = std::size_t(4096);

    std::map<decisions::SharedHash, Name> names_;
    /// In the order in which they were learnt.
    std::deque<decisions::SharedHash> order_;
};

} // namespace eelgrass::serving
