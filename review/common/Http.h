// Blocking HTTP/1.1 over TCP for the stand-ins of the cases: small, and without dependencies.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A socket that is closed with its owner.
class Socket {
public:
    explicit Socket(int fd = -1)
        : fd_(fd)
    {
    }
    Socket(Socket&& other) noexcept
        : fd_(std::exchange(other.fd_, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        close();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    ~Socket() { close(); }
    int fd() const { return fd_; }
    bool valid() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }

private:
    int fd_;
};

inline sockaddr_in loopback(std::uint16_t port, const char* address = "127.0.0.1")
{
    auto at = sockaddr_in {};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    inet_pton(AF_INET, address, &at.sin_addr);
    return at;
}

inline std::uint16_t portOf(int fd)
{
    auto at = sockaddr_in {};
    auto size = socklen_t(sizeof at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}

/// Listens on loopback; port 0 lets the kernel choose. `segment` is the largest segment that peers may send, as on an
/// Ethernet link, and `window` the size of the receive buffer; 0 leaves the kernel's choice.
inline Socket listenOn(std::uint16_t port, int segment = 0, int window = 0, const char* address = "127.0.0.1")
{
    auto socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto on = 1;
    setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (segment > 0)
        setsockopt(socket.fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    if (window > 0)
        setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    const auto at = loopback(port, address);
    if (bind(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(socket.fd(), 512) != 0)
        throw std::runtime_error("cannot listen");
    return socket;
}

inline Socket acceptFrom(const Socket& listener)
{
    return Socket(accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
}

inline Socket connectTo(std::uint16_t port, const char* address = "127.0.0.1")
{
    auto socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto at = loopback(port, address);
    if (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
        return Socket();
    const auto on = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    auto at = std::size_t(0);
    while (at < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        at += static_cast<std::size_t>(count);
    }
    return true;
}

/// How a connection went on after the last byte that was read.
enum class End { Open, Finished, Reset, TimedOut };

inline const char* toString(End end)
{
    switch (end) {
    case End::Open:
        return "open";
    case End::Finished:
        return "closed in order";
    case End::Reset:
        return "reset";
    case End::TimedOut:
        break;
    }
    return "timed out";
}

/// Reads some bytes more into `input`, until `until` at the latest.
inline End readMore(int fd, std::string& input, Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    auto waiting = pollfd { fd, POLLIN, 0 };
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return End::TimedOut;
    char buffer[16384];
    const auto count = recv(fd, buffer, sizeof buffer, 0);
    if (count > 0) {
        input.append(buffer, static_cast<std::size_t>(count));
        return End::Open;
    }
    return count == 0 ? End::Finished : End::Reset;
}

inline std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

struct Message {
    /// Method and target of a request, or the status line's text.
    std::string start;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(lowered(name));
        return found == fields.end() ? std::string() : found->second;
    }
    bool has(const std::string& name) const { return fields.count(lowered(name)) > 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto at = start.find(' ') + 1;
        return start.substr(at, start.find(' ', at) - at);
    }
    std::string path() const
    {
        const auto whole = target();
        return whole.substr(0, whole.find('?'));
    }
    std::string query(const std::string& name) const
    {
        const auto whole = target();
        auto at = whole.find('?');
        while (at != std::string::npos) {
            const auto end = whole.find('&', at + 1);
            const auto item = whole.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const auto equals = item.find('=');
            if (item.substr(0, equals) == name)
                return equals == std::string::npos ? std::string() : unescaped(item.substr(equals + 1));
            at = end;
        }
        return {};
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }

private:
    static std::string unescaped(const std::string& text)
    {
        auto plain = std::string();
        for (auto at = std::size_t(0); at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                plain += text[at];
            }
        }
        return plain;
    }
};

/// Takes a head off the front of `input`, if it is whole.
inline bool takeHead(std::string& input, Message& message)
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    auto at = input.find("\r\n");
    message.start = input.substr(0, at);
    while (at < end) {
        const auto next = input.find("\r\n", at + 2);
        const auto line = input.substr(at + 2, next - at - 2);
        const auto colon = line.find(':');
        auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        message.fields[lowered(line.substr(0, colon))] = value;
        at = next;
    }
    input.erase(0, end + 4);
    return true;
}

/// What a client has received: the answer, and whether it is whole by its framing.
struct Answer {
    Message message;
    bool headSeen = false;
    bool whole = false;
    End end = End::Open;
};

/// Reads one answer as a client does. An answer is whole if its Content-Length has come, or its last chunk.
inline Answer readAnswer(int fd, std::string& input, Clock::time_point until)
{
    auto answer = Answer();
    while (!takeHead(input, answer.message)) {
        answer.end = readMore(fd, input, until);
        if (answer.end != End::Open)
            return answer;
    }
    answer.headSeen = true;
    const auto chunked = lowered(answer.message.field("Transfer-Encoding")) == "chunked";
    const auto length = answer.message.has("Content-Length")
        ? std::strtoull(answer.message.field("Content-Length").c_str(), nullptr, 10)
        : 0ULL;
    for (;;) {
        if (chunked) {
            for (;;) {
                const auto line = input.find("\r\n");
                if (line == std::string::npos)
                    break;
                const auto size = std::strtoull(input.c_str(), nullptr, 16);
                if (input.size() < line + 2 + size + 2)
                    break;
                answer.message.body += input.substr(line + 2, size);
                input.erase(0, line + 2 + size + 2);
                if (size == 0) {
                    answer.whole = true;
                    return answer;
                }
            }
        } else if (answer.message.has("Content-Length")) {
            const auto take = std::min<std::size_t>(input.size(), length - answer.message.body.size());
            answer.message.body += input.substr(0, take);
            input.erase(0, take);
            if (answer.message.body.size() == length) {
                answer.whole = true;
                return answer;
            }
        } else {
            answer.message.body += input;
            input.clear();
        }
        answer.end = readMore(fd, input, until);
        if (answer.end != End::Open) {
            answer.whole = !chunked && !answer.message.has("Content-Length") && answer.end == End::Finished;
            return answer;
        }
    }
}

/// Reads one request with its body; false at the end of the connection.
inline bool readRequest(int fd, std::string& input, Message& request)
{
    const auto never = Clock::now() + std::chrono::hours(1);
    while (!takeHead(input, request)) {
        if (readMore(fd, input, never) != End::Open)
            return false;
    }
    const auto length = std::strtoull(request.field("Content-Length").c_str(), nullptr, 10);
    while (input.size() < length) {
        if (readMore(fd, input, never) != End::Open)
            return false;
    }
    request.body = input.substr(0, length);
    input.erase(0, length);
    return true;
}

inline std::string responseText(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace review
