#include "serving/QuotaBuckets.h"

namespace eelgrass::serving {

auto QuotaBuckets::bucketFor(wire::schema::QuotaCharge::Reader charge, Moment now) -> decisions::QuotaBucket&
{
    auto& account = accounts_[MemberId(charge.getMember().cStr())];
    const auto version = ConfigVersion(charge.getConfigVersion());
    if (version > account.version) {
        account.version = version;
        account.bucket.setRate({ charge.getRatePerSecond(), charge.getBurst(), charge.getLenience() }, now);
    }
    return account.bucket;
}

} // namespace eelgrass::serving
