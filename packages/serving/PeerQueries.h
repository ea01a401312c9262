#pragma once

#include "serving/ReaderLink.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace eelgrass::serving {

/// Asks other entries for what the store does not tell this one, each by a connection of its own.
///
/// An entry that is asked may be suspended or cut off itself. So that it does not hold up the next one, a few are asked
/// at the same time, and the one whose news was of use last comes first.
class PeerQueries final : private kj::TaskSet::ErrorHandler {
public:
    struct Hooks {
        /// Sets in the query which versions this entry already has.
        std::function<void(ReaderLink::Query)> fillQuery;
        /// `asked` was read before the query was sent; the data in the answer may be that old. Returns whether the
        /// answer was of use.
        std::function<bool(ReaderLink::Answer, const Endpoint& peer, Moment asked)> onAnswer;
    };

    PeerQueries(wire::MainLoop& loop, Hooks hooks);
    KJ_DISALLOW_COPY(PeerQueries);

    /// Asks one of the peers, the next one at each call, and never this entry itself.
    auto askNext(const std::vector<Endpoint>& peers, const Endpoint& self, std::string_view why) -> void;
    auto ask(const Endpoint& peer, std::string_view why) -> void;
    /// Whether no answer is awaited.
    [[nodiscard]] auto idle() const noexcept -> bool { return awaited_ == 0; }

private:
    [[nodiscard]] auto choose(const std::vector<Endpoint>& peers) -> Endpoint;
    auto query(const Endpoint& peer) -> kj::Promise<void>;
    auto taskFailed(kj::Exception&& exception) -> void override;

    wire::MainLoop& loop_;
    Hooks hooks_;
    std::size_t next_ = 0;
    /// Peers that have been asked and have not answered yet.
    std::size_t awaited_ = 0;
    /// The peer whose last answer was of use; empty once it is asked again.
    std::optional<Endpoint> helpful_;
    kj::TaskSet queries_;
};

} // namespace eelgrass::serving
