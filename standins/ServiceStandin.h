#pragma once

#include "standins/JsonAnswer.h"
#include "wire/MainLoop.h"

#include <string>
#include <vector>

namespace eelgrass::standins {

/// Takes a plain service's place: answers each call with what it was, and remembers every run for the tests.
///
/// A body that contains `sleep-MS` is answered that much later; `?status=N` chooses the answer's status.
///
/// Each run is logged before it takes effect, so that a test's record outlives a killed service. `POST
/// /standin/faults` sets `lose_answers` (that many runs whose answers get lost) and `hang` (that many calls that run
/// and stay silent for good).
class ServiceStandin {
public:
    ServiceStandin(wire::MainLoop& loop, const std::string& address, std::uint16_t port);

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return server_.port(); }

private:
    auto handle(const wire::HttpExchangePtr& exchange) -> void;
    auto control(const wire::HttpExchangePtr& exchange) -> void;
    auto run(const wire::HttpExchangePtr& exchange) -> void;

    wire::MainLoop& loop_;
    Json runs_ = Json::array();
    int loseAnswers_ = 0;
    int hang_ = 0;
    /// Calls that hang are held, so that their connections stay open.
    std::vector<wire::HttpExchangePtr> hanging_;
    wire::HttpServer server_;
};

} // namespace eelgrass::standins
