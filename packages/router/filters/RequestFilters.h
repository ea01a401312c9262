#pragma once

#include "router/filters/Filter.h"

namespace eelgrass::router {

/// Identifies the caller by its bearer key. The configuration holds only digests of keys.
struct Authenticate {
    auto apply(Call& call) const -> Result<void>;
};

/// Reads path, headers and body. Refuses malformed requests before any other work is done for them.
struct Parse {
    auto apply(Call& call) const -> Result<void>;
};

/// Checks that the caller may use the requested service. Sets the request class, the deadline and whether the request
/// may run only once.
struct Authorize {
    auto apply(Call& call) const -> Result<void>;
};

/// Resolves the requested model to an adapter and a version. The request keeps both, even if the configuration changes
/// later.
struct Resolve {
    auto apply(Call& call) const -> Result<void>;
};

static_assert(Filter<Authenticate> && Filter<Parse> && Filter<Authorize> && Filter<Resolve>,
    "a filter must offer apply(Call&) -> Result<void>");

/// The filters that every request of a caller passes.
using RequestChain = FilterChain<Authenticate, Parse, Resolve, Authorize>;

} // namespace eelgrass::router
