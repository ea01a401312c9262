#pragma once

#include "decisions/QuotaBucket.h"
#include "serving/Types.h"
#include "wire/generated/Agent.capnp.h"

#include <map>

namespace eelgrass::serving {

/// The quota buckets of the members whose requests entries count at this agent.
class QuotaBuckets {
public:
    /// Returns the bucket of the charge's member, at the rate of the newest configuration that any entry has sent.
    [[nodiscard]] auto bucketFor(wire::schema::QuotaCharge::Reader charge, Moment now) -> decisions::QuotaBucket&;

private:
    struct Account {
        decisions::QuotaBucket bucket;
        ConfigVersion version;
    };
    std::map<MemberId, Account> accounts_;
};

} // namespace eelgrass::serving
