#pragma once

#include "standins/JsonAnswer.h"
#include "wire/GlibStream.h"
#include "wire/MainLoop.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::standins {

/// A TCP proxy on one leg that plays the network's faults.
///
/// `POST /standin/proxy` on the control port takes any of:
/// `upstream` (port), `delay_ms` (each piece, both ways), `cut` (closes every connection now), `refuse` (closes new
/// connections), `silent` (`up`, `down`, `both`, `none`: bytes and ends vanish on open and new connections; a
/// connection that has lost bytes stays silent that way), `half_open` (connections now open are silent for good, new
/// ones work), `freeze` (nothing moves until it is false, then everything does), `reorder` (connections opened from
/// here on carry Cap'n Proto messages; neighbouring chunks of an answer change places). It answers how many connections
/// were `accepted`, are `open`, and how many messages were `swapped`.
class FaultProxy {
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::uint16_t upstream = 0;
        std::string upstreamAddress = "127.0.0.1";
    };

    FaultProxy(wire::MainLoop& loop, Options options);

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return listener_.port(); }
    /// The same as a call to the control port.
    auto apply(const nlohmann::json& faults) -> void;
    /// Connections so far.
    [[nodiscard]] auto accepted() const noexcept -> std::uint64_t { return accepted_; }
    [[nodiscard]] auto controlPort() const noexcept -> std::uint16_t { return server_.port(); }

private:
    enum Direction : std::size_t { Up, Down };
    struct Link {
        kj::Own<wire::GlibStream> near;
        kj::Own<wire::GlibStream> far;
        /// For good, whatever the proxy's setting says later.
        bool lost = false;
        /// Ways on which bytes have vanished: a byte stream carries none after those that it lost.
        std::array<bool, 2> cutShort {};
        bool reordered = false;
        std::array<std::string, 2> partial;
        std::array<std::vector<char>, 2> buffer;
        kj::Promise<void> work = nullptr;
    };

    auto accept(kj::Own<wire::GlibStream> near) -> void;
    auto carryBoth(Link& link) -> kj::Promise<void>;
    auto carry(Link& link, Direction direction) -> kj::Promise<void>;
    auto deliver(Link& link, Direction direction, std::string bytes) -> kj::Promise<void>;
    auto reorder(Link& link, const std::string& bytes) -> std::string;
    auto control(const wire::HttpExchangePtr& exchange) -> void;
    auto thawed() -> kj::Promise<void>;
    [[nodiscard]] auto silentOn(const Link& link, Direction direction) const -> bool;
    /// Whether a piece vanishes; the link carries nothing that way from then on.
    [[nodiscard]] auto swallows(Link& link, Direction direction) const -> bool;

    wire::MainLoop& loop_;
    Options options_;
    Duration delay_ {};
    bool refuse_ = false;
    bool frozen_ = false;
    bool reorder_ = false;
    std::array<bool, 2> silent_ {};
    std::uint64_t accepted_ = 0;
    std::uint64_t swapped_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Link>> links_;
    wire::Listener listener_;
    wire::HttpServer server_;
};

} // namespace eelgrass::standins
