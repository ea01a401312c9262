#pragma once

#include "wire/MainLoop.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrass::serving::detail {

/// Returns the first value among the answers to a question that several processes were asked; empty once all have
/// answered without one, or after `timeout`. An answer that fails counts as none. The promise never rejects.
template <typename T>
[[nodiscard]] auto firstKnown(wire::MainLoop& loop, std::vector<kj::Promise<std::optional<T>>> answers,
    Duration timeout) -> kj::Promise<std::optional<T>>
{
    struct Gathering {
        kj::Own<kj::PromiseFulfiller<std::optional<T>>> fulfiller;
        std::size_t outstanding = 0;
    };
    if (answers.empty())
        return std::optional<T>();
    auto pair = kj::newPromiseAndFulfiller<std::optional<T>>();
    auto gathering = std::make_shared<Gathering>(Gathering { kj::mv(pair.fulfiller), answers.size() });
    for (auto& answer : answers) {
        auto bounded = answer.catch_([](kj::Exception&&) { return std::optional<T>(); })
                           .exclusiveJoin(loop.sleep(timeout).then([] { return std::optional<T>(); }));
        loop.spawn(bounded.then([gathering](std::optional<T>&& value) {
            if (value || --gathering->outstanding == 0)
                gathering->fulfiller->fulfill(std::move(value));
        }));
    }
    return kj::mv(pair.promise);
}

} // namespace eelgrass::serving::detail
