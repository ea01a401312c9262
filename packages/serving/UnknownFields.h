#pragma once

#include "router/Metrics.h"
#include "serving/Types.h"

#include <cstddef>
#include <set>
#include <string>

namespace eelgrass::serving {

/// Counts the header fields of replicas' answers that this system does not know, by name. A replica may ask for
/// something in a field that is passed on unread; the count shows it.
class UnknownFields {
public:
    explicit UnknownFields(router::Metrics& metrics)
        : metrics_(metrics)
    {
    }

    auto record(const wire::HeaderFields& fields, const InstanceId& replica) -> void;

private:
    /// Replicas choose the names, so further ones share one count.
    static constexpr auto maxNames = std::size_t(32);
    static constexpr auto maxNameLength = std::size_t(64);

    router::Metrics& metrics_;
    std::set<std::string> names_;
};

} // namespace eelgrass::serving
