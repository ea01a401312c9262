#include "router/target/AttemptOutput.h"

#include <algorithm>

namespace eelgrass::router {

auto AttemptOutput::attach(wire::schema::ChunkSink::Client sink, ChunkNumber from) -> void
{
    if (retention_ == Retention::UntilAcknowledged)
        readers_.clear();
    auto& reader = readers_.emplace_back(Reader { ++lastReader_, kj::mv(sink), from });
    for (const auto& chunk : chunks_) {
        if (chunk.number >= from)
            send(reader, chunk);
    }
    if (end_)
        sendEnd(reader);
    trim();
}

auto AttemptOutput::beginAt(ChunkNumber chunk, std::uint32_t token) -> void
{
    first_ = chunk;
    next_ = chunk;
    tokens_ = token;
}

auto AttemptOutput::detach() -> void
{
    readers_.clear();
    detachedAt_ = now();
    notifyWritable();
}

auto AttemptOutput::release() -> void
{
    retention_ = Retention::UntilAcknowledged;
    trim();
}

auto AttemptOutput::append(std::string data, std::uint32_t tokens) -> void
{
    tokens_ += tokens;
    push({ .data = std::move(data), .tokens = tokens, .software = std::exchange(software_, {}) });
}

auto AttemptOutput::appendHead(int status, std::string contentType) -> void
{
    push({ .status = static_cast<std::uint16_t>(status), .contentType = std::move(contentType) });
}

auto AttemptOutput::push(Chunk chunk) -> void
{
    chunk.number = next_;
    next_ = next_.next();
    retainedBytes_ += chunk.data.size();
    chunks_.push_back(std::move(chunk));
    for (auto& reader : readers_)
        send(reader, chunks_.back());
    if (retainedBytes_ > retainedLimit)
        release();
}

auto AttemptOutput::send(Reader& reader, const Chunk& chunk) -> void
{
    reader.backlog += chunk.data.size();
    auto request = reader.sink.chunkRequest();
    request.setNumber(chunk.number.value());
    request.setData(dataOf(chunk.data));
    request.setTokens(chunk.tokens);
    request.setStatus(chunk.status);
    request.setContentType(chunk.contentType);
    if (!chunk.software.empty())
        request.setSoftware(chunk.software.str());
    auto alive = std::weak_ptr(alive_);
    loop_.spawn(request.send().ignoreResult().then(
        [this, alive, id = reader.id, number = chunk.number] {
            if (alive.lock())
                acknowledged(id, number);
        },
        [this, alive, id = reader.id](kj::Exception&&) {
            if (alive.lock())
                readerLost(id);
        }));
}

auto AttemptOutput::end(AnswerEnd end) -> void
{
    if (end_)
        return;
    end_ = std::move(end);
    for (auto& reader : readers_)
        sendEnd(reader);
}

auto AttemptOutput::sendEnd(Reader& reader) -> void
{
    auto request = reader.sink.endRequest();
    request.setNumber(next_.value());
    write(*end_, request.initEnd());
    auto alive = std::weak_ptr(alive_);
    loop_.spawn(request.send().ignoreResult().then(
        [this, alive] {
            if (alive.lock())
                delivered_ = true;
        },
        [this, alive, id = reader.id](kj::Exception&&) {
            if (alive.lock())
                readerLost(id);
        }));
}

auto AttemptOutput::progress(const std::string& note) -> void
{
    for (auto& reader : readers_) {
        auto request = reader.sink.progressRequest();
        request.setNote(note);
        loop_.spawn(request.send().ignoreResult().then([] {}, [](kj::Exception&&) {}));
    }
}

auto AttemptOutput::find(std::uint64_t reader) -> Reader*
{
    const auto found
        = std::find_if(readers_.begin(), readers_.end(), [&](const auto& known) { return known.id == reader; });
    return found == readers_.end() ? nullptr : &*found;
}

auto AttemptOutput::acknowledged(std::uint64_t id, ChunkNumber number) -> void
{
    auto* reader = find(id);
    // Acknowledgements from an earlier session are ignored.
    if (!reader)
        return;
    while (reader->nextUnacknowledged <= number && reader->nextUnacknowledged >= first_
        && reader->nextUnacknowledged < next_) {
        reader->backlog -= chunks_[reader->nextUnacknowledged.value() - first_.value()].data.size();
        reader->nextUnacknowledged = reader->nextUnacknowledged.next();
    }
    trim();
    notifyWritable();
}

auto AttemptOutput::trim() -> void
{
    if (retention_ == Retention::UntilReleased)
        return;
    auto wanted = [&](const Chunk& chunk) {
        return readers_.empty() || std::any_of(readers_.begin(), readers_.end(), [&](const auto& reader) {
            return reader.nextUnacknowledged <= chunk.number;
        });
    };
    while (!chunks_.empty() && !wanted(chunks_.front())) {
        retainedBytes_ -= chunks_.front().data.size();
        chunks_.pop_front();
        first_ = first_.next();
    }
}

auto AttemptOutput::readerLost(std::uint64_t reader) -> void
{
    readers_.remove_if([&](const auto& known) { return known.id == reader; });
    if (readers_.empty())
        detachedAt_ = now();
    notifyWritable();
}

auto AttemptOutput::full() const noexcept -> bool
{
    if (readers_.empty())
        return retainedBytes_ >= (retention_ == Retention::UntilReleased ? retainedLimit : highWater);
    return std::any_of(
        readers_.begin(), readers_.end(), [](const auto& reader) { return reader.backlog >= highWater; });
}

auto AttemptOutput::notifyWritable() -> void
{
    if (full())
        return;
    KJ_IF_MAYBE (fulfiller, writable_) {
        (*fulfiller)->fulfill();
        writable_ = nullptr;
    }
}

auto AttemptOutput::writable() -> kj::Promise<void>
{
    if (!full())
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    writable_ = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

} // namespace eelgrass::router
