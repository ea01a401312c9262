#include "wire/GatheredStream.h"

#include <algorithm>

namespace eelgrass::wire {

namespace {

constexpr auto readAheadLimit = std::size_t(16384);
// Bytes that are gathered for a peer that reads slowly, before its writers are made to wait.
constexpr auto unsentLimit = std::size_t(256) << 10U;

} // namespace

GatheredStream::GatheredStream(kj::AsyncIoStream& inner)
    : inner_(inner)
    , readAhead_(readAheadLimit, '\0')
{
}

GatheredStream::~GatheredStream() noexcept(false) { sendAtOnce(); }

auto GatheredStream::takeBuffered(char* buffer, size_t maxBytes) -> size_t
{
    const auto size = std::min(maxBytes, readAheadSize_ - readAheadFrom_);
    std::copy_n(readAhead_.data() + readAheadFrom_, size, buffer);
    readAheadFrom_ += size;
    return size;
}

auto GatheredStream::tryRead(void* buffer, size_t minBytes, size_t maxBytes) -> kj::Promise<size_t>
{
    return readSome(static_cast<char*>(buffer), minBytes, maxBytes, 0);
}

auto GatheredStream::readSome(char* buffer, size_t minBytes, size_t maxBytes, size_t got) -> kj::Promise<size_t>
{
    const auto buffered = takeBuffered(buffer, maxBytes);
    if (buffered >= minBytes)
        return got + buffered;
    auto* rest = buffer + buffered;
    return inner_.tryRead(readAhead_.data(), 1, readAhead_.size()).then([=, this](size_t size) -> kj::Promise<size_t> {
        readAheadFrom_ = 0;
        readAheadSize_ = size;
        if (size == 0)
            return got + buffered;
        return readSome(rest, minBytes - buffered, maxBytes - buffered, got + buffered);
    });
}

auto GatheredStream::write(const void* buffer, size_t size) -> kj::Promise<void>
{
    unsent_.append(static_cast<const char*>(buffer), size);
    return gathered();
}

auto GatheredStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) -> kj::Promise<void>
{
    for (auto piece : pieces)
        unsent_.append(reinterpret_cast<const char*>(piece.begin()), piece.size());
    return gathered();
}

auto GatheredStream::gathered() -> kj::Promise<void>
{
    KJ_IF_MAYBE (error, broken_) {
        unsent_.clear();
        return kj::cp(*error);
    }
    if (!flushing_) {
        flushing_ = true;
        // Behind every event that is queued already: all that came in with this turn has then been written.
        flushed_ = kj::evalLater([this] { return flush(); }).eagerlyEvaluate([this](kj::Exception&& error) {
            broken_ = kj::mv(error);
            flushing_ = false;
            unsent_.clear();
            settleWriters();
        });
    }
    if (unsent_.size() < unsentLimit)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    writers_.add(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

auto GatheredStream::flush() -> kj::Promise<void>
{
    sending_.clear();
    if (unsent_.empty()) {
        flushing_ = false;
        return kj::READY_NOW;
    }
    std::swap(sending_, unsent_);
    return inner_.write(sending_.data(), sending_.size()).then([this] {
        settleWriters();
        return flush();
    });
}

auto GatheredStream::settleWriters() -> void
{
    auto writers = kj::mv(writers_);
    for (auto& writer : writers) {
        KJ_IF_MAYBE (error, broken_)
            writer->reject(kj::cp(*error));
        else
            writer->fulfill();
    }
}

auto GatheredStream::sendAtOnce() -> void
{
    // What is behind a write under way cannot go out any more; the peer sees a broken stream, as it would without
    // gathering.
    if (unsent_.empty() || !sending_.empty())
        return;
    flushed_ = nullptr;
    std::swap(sending_, unsent_);
    // The inner stream sends what the socket takes before it returns.
    const auto sent = inner_.write(sending_.data(), sending_.size());
    static_cast<void>(sent);
}

auto GatheredStream::shutdownWrite() -> void
{
    sendAtOnce();
    inner_.shutdownWrite();
}

} // namespace eelgrass::wire
