#include "wire/HttpReader.h"

#include <ostream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>

namespace eelgrass::wire {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

// An answer's head, and each line of its framing; engines send a few hundred bytes.
constexpr auto answerHeadLimit = std::uint32_t(64) << 10U;

auto view(string_view text) -> std::string_view { return { text.data(), text.size() }; }

auto faultOf(const error_code& error) -> HttpFault
{
    if (!error || error == http::error::need_more)
        return HttpFault::None;
    if (error == http::error::header_limit)
        return HttpFault::HeaderTooLarge;
    if (error == http::error::body_limit)
        return HttpFault::BodyTooLarge;
    return HttpFault::Malformed;
}

/// What both directions do alike: fields and body into our own types.
template <bool isRequest> class MessageParser : public http::basic_parser<isRequest> {
public:
    using Base = http::basic_parser<isRequest>;

    MessageParser() { this->eager(true); }

    /// Gives `input` to the parser as far as it will take it.
    auto putAll(std::string& input) -> HttpFault
    {
        auto at = std::size_t(0);
        auto error = error_code();
        while (at < input.size() && !this->is_done()) {
            const auto used = this->put(boost::asio::buffer(input.data() + at, input.size() - at), error);
            at += used;
            if (error || used == 0)
                break;
        }
        input.erase(0, at);
        return faultOf(error);
    }

    HeaderFields fields_;
    std::string body_;
    std::string method_;
    std::string target_;
    int status_ = 0;

protected:
    auto on_request_impl(http::verb, string_view method, string_view target, int, error_code& error) -> void override
    {
        method_ = view(method);
        target_ = view(target);
        error = {};
    }
    auto on_response_impl(int status, string_view, int, error_code& error) -> void override
    {
        status_ = status;
        error = {};
    }
    auto on_field_impl(http::field, string_view name, string_view value, error_code& error) -> void override
    {
        fields_.add(view(name), view(value));
        error = {};
    }
    auto on_header_impl(error_code& error) -> void override
    {
        error = {};
        if constexpr (isRequest) {
            if (!unambiguous())
                error = http::error::bad_value;
        }
    }
    auto on_body_init_impl(const boost::optional<std::uint64_t>&, error_code& error) -> void override { error = {}; }
    auto on_body_impl(string_view piece, error_code& error) -> std::size_t override
    {
        body_.append(piece.data(), piece.size());
        error = {};
        return piece.size();
    }
    auto on_chunk_header_impl(std::uint64_t, string_view, error_code& error) -> void override { error = {}; }
    auto on_chunk_body_impl(std::uint64_t, string_view piece, error_code& error) -> std::size_t override
    {
        body_.append(piece.data(), piece.size());
        error = {};
        return piece.size();
    }
    auto on_finish_impl(error_code& error) -> void override { error = {}; }

private:
    [[nodiscard]] auto unambiguous() const -> bool
    {
        const auto lengths = fields_.count("Content-Length");
        const auto codings = fields_.count("Transfer-Encoding");
        if (lengths > 1 || codings > 1 || lengths + codings > 1)
            return false;
        if (codings == 1 && !sameName(fields_.get("Transfer-Encoding"), "chunked"))
            return false;
        return fields_.count("Host") == 1 && !target_.empty() && target_.front() == '/';
    }
};

} // namespace

class RequestReader::Parser : public MessageParser<true> {
public:
    explicit Parser(const HttpLimits& limits)
        : headerBytes_(limits.headerBytes)
    {
        header_limit(limits.headerBytes);
        body_limit(limits.bodyBytes);
    }

    /// The limit in force when the request began.
    std::uint32_t headerBytes_;
};

RequestReader::RequestReader(HttpLimits limits)
    : limits_(limits)
{
    restart();
}

RequestReader::~RequestReader() = default;

auto RequestReader::restart() -> void
{
    parser_ = std::make_unique<Parser>(limits_);
    begun_ = false;
}

auto RequestReader::feed(std::string& input) -> HttpFault
{
    if (input.empty())
        return HttpFault::None;
    if (!begun_) {
        // The limits may have changed since the last request on this connection.
        restart();
        // An empty line before a request is allowed, and belongs to none.
        while (input.starts_with("\r\n"))
            input.erase(0, 2);
        begun_ = !input.empty();
    }
    const auto fault = parser_->putAll(input);
    // A head without end: the parser waits for a whole line, so the bytes that it has not taken count too.
    if (fault == HttpFault::None && !parser_->is_header_done() && input.size() > parser_->headerBytes_)
        return HttpFault::HeaderTooLarge;
    return fault;
}

auto RequestReader::begun() const noexcept -> bool { return begun_; }
auto RequestReader::headComplete() const noexcept -> bool { return parser_->is_header_done(); }
auto RequestReader::complete() const noexcept -> bool { return begun_ && parser_->is_done(); }

auto RequestReader::expectsContinue() const noexcept -> bool
{
    return headComplete() && !complete() && sameName(parser_->fields_.get("Expect"), "100-continue");
}

auto RequestReader::take() -> HttpRequestMessage
{
    auto message = HttpRequestMessage { std::move(parser_->method_), std::move(parser_->target_),
        std::move(parser_->fields_), std::move(parser_->body_), parser_->keep_alive() };
    restart();
    return message;
}

class ResponseReader::Parser : public MessageParser<false> {
public:
    HttpResponseHead head_;
    bool headTaken_ = false;

    auto takeHead() -> void
    {
        if (!is_header_done() || std::exchange(headTaken_, true))
            return;
        head_ = { status_, std::move(fields_) };
    }
};

ResponseReader::ResponseReader(bool toHead)
    : parser_(std::make_unique<Parser>())
{
    parser_->header_limit(answerHeadLimit);
    parser_->body_limit(boost::none);
    parser_->skip(toHead);
}

ResponseReader::~ResponseReader() = default;

auto ResponseReader::feed(std::string& input, std::string& body) -> HttpFault
{
    const auto fault = parser_->putAll(input);
    parser_->takeHead();
    body.append(parser_->body_);
    parser_->body_.clear();
    // The parser leaves a head, a chunk's head and trailers in the input until they are whole, whatever their length.
    if (fault == HttpFault::None && !parser_->is_done() && input.size() > answerHeadLimit)
        return HttpFault::HeaderTooLarge;
    return fault;
}

auto ResponseReader::finish() -> void
{
    if (!parser_->is_header_done() || parser_->is_done())
        return;
    auto error = error_code();
    parser_->put_eof(error);
}

auto ResponseReader::headComplete() const noexcept -> bool { return parser_->headTaken_; }
auto ResponseReader::complete() const noexcept -> bool { return parser_->is_done(); }
auto ResponseReader::head() const noexcept -> const HttpResponseHead& { return parser_->head_; }
auto ResponseReader::keepAlive() const noexcept -> bool { return parser_->is_done() && parser_->keep_alive(); }

} // namespace eelgrass::wire
