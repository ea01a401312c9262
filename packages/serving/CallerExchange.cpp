#include "serving/CallerExchange.h"

#include "base/Log.h"

namespace eelgrass::serving {

CallerExchange::CallerExchange(
    std::shared_ptr<CallerConnection> connection, CallerConnection::ExchangeNumber number) noexcept
    : connection_(std::move(connection))
    , number_(number)
    , requestBegan_(connection_->requestBegan())
{
}

auto CallerExchange::allows(std::string_view step, bool streaming) -> bool
{
    if (open() && streamBegun_ == streaming)
        return true;
    log::warn("exchange misused",
        { { "step", std::string(step) }, { "peer", connection_->peer() }, { "open", open() ? "yes" : "no" } });
    connection_->noteMisuse();
    // A partial answer followed by another one could look like one complete answer to the client.
    if (open() && streamBegun_)
        connection_->abort();
    return false;
}

auto CallerExchange::watch(CallerConnection::Watcher watcher) -> void
{
    if (open())
        connection_->watcher_ = std::move(watcher);
}

auto CallerExchange::write(std::string_view bytes) -> void
{
    if (allows("write", false))
        connection_->connection_.write(bytes);
}

auto CallerExchange::respond(wire::HttpResponseHead head, std::string_view body) -> void
{
    if (allows("respond", false))
        connection_->respond(std::move(head), body);
}

auto CallerExchange::begin(wire::HttpResponseHead head) -> void
{
    if (!allows("begin", false))
        return;
    streamBegun_ = true;
    connection_->begin(std::move(head));
}

auto CallerExchange::writeChunk(std::string_view bytes) -> void
{
    if (allows("piece", true))
        connection_->writeChunk(bytes);
}

auto CallerExchange::finish() -> void
{
    if (allows("finish", true))
        connection_->finish();
}

auto CallerExchange::abort() -> void
{
    if (open())
        connection_->abort();
}

auto CallerExchange::backlog() const noexcept -> std::size_t { return open() ? connection_->backlog() : 0; }

} // namespace eelgrass::serving
