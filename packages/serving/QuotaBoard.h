#pragma once

#include "decisions/QuotaBucket.h"
#include "serving/Types.h"
#include "wire/generated/Agent.capnp.h"

#include <map>

namespace eelgrass::serving {

/// What an agent counts for the members whose quotas entries ask it for.
class QuotaBoard {
public:
    /// The bucket of the member that the charge names, by the rate of the newest configuration that any entry told.
    [[nodiscard]] auto of(wire::schema::QuotaCharge::Reader charge, Moment now) -> decisions::QuotaBucket&;

private:
    struct Account {
        decisions::QuotaBucket bucket;
        ConfigVersion version;
    };
    std::map<MemberId, Account> accounts_;
};

} // namespace eelgrass::serving
