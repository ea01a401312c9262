#pragma once

#include "router/entry/Call.h"

#include <concepts>
#include <tuple>
#include <utility>

namespace eelgrass::router {

/// A filter is a synchronous step that checks a call and fills in some of its fields, or fails.
template <typename T>
concept Filter = requires(T filter, Call& call)
{
    {
        filter.apply(call)
        } -> std::same_as<Result<void>>;
};

/// Applies filters to a call in the listed order. Stops at the first filter that fails and returns its error.
///
/// ```cpp
/// auto chain = FilterChain(Authenticate(config), Parse(), Authorize(), Resolve());
/// BOOST_LEAF_CHECK(chain.apply(call));
/// ```
template <Filter... Filters> class FilterChain {
public:
    explicit FilterChain(Filters... filters)
        : filters_(std::move(filters)...)
    {
    }

    auto apply(Call& call) -> Result<void> { return applyFrom<0>(call); }

private:
    template <std::size_t index> auto applyFrom(Call& call) -> Result<void>
    {
        if constexpr (index < sizeof...(Filters)) {
            BOOST_LEAF_CHECK(std::get<index>(filters_).apply(call));
            return applyFrom<index + 1>(call);
        }
        return {};
    }

    std::tuple<Filters...> filters_;
};

} // namespace eelgrass::router
