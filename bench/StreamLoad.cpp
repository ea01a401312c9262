#include "bench/StreamLoad.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <stdexcept>
#include <string_view>

namespace eelgrass::bench {

namespace {

constexpr auto tokenMark = std::string_view("data: {");
constexpr auto answerEnd = std::string_view("\r\n0\r\n\r\n");
constexpr auto goodStatus = std::string_view("HTTP/1.1 200");
constexpr auto readSize = std::size_t(65536);
constexpr auto eventsAtOnce = 64;

auto connectTo(std::uint16_t port) -> int
{
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in { .sin_family = AF_INET, .sin_port = htons(port) };
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot connect to port " + std::to_string(port));
    auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

auto sendAll(int fd, std::string_view text) -> void
{
    while (!text.empty()) {
        const auto size = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (size <= 0)
            throw std::runtime_error("the connection broke while a request was sent");
        text.remove_prefix(static_cast<std::size_t>(size));
    }
}

/// Knows the first token and the end of an answer that comes in pieces.
class AnswerReader {
public:
    auto take(std::string_view bytes) -> void
    {
        if (!begun_) {
            begun_ = true;
            good_ = bytes.starts_with(goodStatus);
        }
        text_ += bytes;
        tokenSeen_ = tokenSeen_ || text_.find(tokenMark) != std::string::npos;
        over_ = !good_ || text_.ends_with(answerEnd);
        // What may be the beginning of a mark or of the end is kept for the next piece.
        const auto keep = std::min(text_.size(), answerEnd.size());
        text_.erase(0, text_.size() - keep);
    }

    [[nodiscard]] auto tokenSeen() const noexcept -> bool { return tokenSeen_; }
    [[nodiscard]] auto good() const noexcept -> bool { return good_; }
    [[nodiscard]] auto over() const noexcept -> bool { return over_; }

private:
    std::string text_;
    bool tokenSeen_ = false;
    bool begun_ = false;
    bool good_ = false;
    bool over_ = false;
};

struct Connection {
    const LoadPlace* place = nullptr;
    int fd = -1;
    AnswerReader reader;
};

auto openConnection(int poll, Connection& connection) -> void
{
    connection.fd = connectTo(connection.place->port);
    auto event = epoll_event { .events = EPOLLIN, .data = { .ptr = &connection } };
    epoll_ctl(poll, EPOLL_CTL_ADD, connection.fd, &event);
    sendAll(connection.fd, connection.place->request());
}

auto serve(int poll, Connection& connection, std::string& buffer, LoadResult& result) -> void
{
    const auto size = recv(connection.fd, buffer.data(), buffer.size(), 0);
    if (size > 0)
        connection.reader.take(std::string_view(buffer).substr(0, static_cast<std::size_t>(size)));
    if (size > 0 && !connection.reader.over())
        return;
    const auto whole = size > 0 && connection.reader.good();
    ++(whole ? result.answers : result.failed);
    if (!whole && result.firstFailure.empty())
        result.firstFailure = size > 0 ? buffer.substr(0, static_cast<std::size_t>(size)) : "the connection was closed";
    connection.reader = {};
    if (whole) {
        result.tokens += connection.place->tokens;
        return sendAll(connection.fd, connection.place->request());
    }
    close(connection.fd);
    openConnection(poll, connection);
}

} // namespace

auto LoadResult::tokensPerSecond() const noexcept -> double
{
    return static_cast<double>(tokens) / std::chrono::duration<double>(elapsed).count();
}

auto LoadResult::answersPerSecond() const noexcept -> double
{
    return static_cast<double>(answers) / std::chrono::duration<double>(elapsed).count();
}

auto runLoad(const std::vector<LoadPlace>& places, Duration time) -> LoadResult
{
    const auto poll = epoll_create1(EPOLL_CLOEXEC);
    auto connections = std::vector<std::unique_ptr<Connection>>();
    for (const auto& place : places) {
        for (auto index = std::size_t(0); index < place.connections; ++index) {
            connections.push_back(std::make_unique<Connection>());
            connections.back()->place = &place;
            openConnection(poll, *connections.back());
        }
    }
    auto result = LoadResult();
    auto buffer = std::string(readSize, '\0');
    auto events = std::array<epoll_event, eventsAtOnce>();
    const auto from = now();
    while (now() - from < time) {
        const auto ready = epoll_wait(poll, events.data(), eventsAtOnce, 100);
        for (auto index = 0; index < ready; ++index)
            serve(poll, *static_cast<Connection*>(events.at(static_cast<std::size_t>(index)).data.ptr), buffer, result);
    }
    result.elapsed = now() - from;
    for (const auto& connection : connections)
        close(connection->fd);
    close(poll);
    return result;
}

TimedCaller::TimedCaller(std::uint16_t port)
    : fd_(connectTo(port))
{
}

TimedCaller::~TimedCaller() { close(fd_); }

auto TimedCaller::firstToken(const std::string& request) -> Duration
{
    auto reader = AnswerReader();
    auto buffer = std::string(readSize, '\0');
    auto first = Duration(0);
    const auto from = now();
    sendAll(fd_, request);
    while (!reader.over()) {
        const auto size = recv(fd_, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            throw std::runtime_error("the connection broke during an answer");
        reader.take(std::string_view(buffer).substr(0, static_cast<std::size_t>(size)));
        if (first == Duration(0) && reader.tokenSeen())
            first = now() - from;
    }
    if (!reader.good())
        throw std::runtime_error("a call of the bench was refused: " + buffer.substr(0, 400));
    return first;
}

} // namespace eelgrass::bench
