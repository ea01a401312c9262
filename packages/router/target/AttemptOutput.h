#pragma once

#include "router/WireTypes.h"
#include "wire/MainLoop.h"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>

namespace eelgrass::router {

/// Delivers the answer of one attempt to the entries that read it, in numbered chunks that are kept until acknowledged.
///
/// After a session is lost, the entry names the chunk number from which delivery resumes on its next session, so that
/// no chunk is lost or duplicated. The output of a non-repeatable attempt is kept whole until it is released, so that
/// an entry that joins the attempt reads it from the first chunk.
class AttemptOutput {
public:
    enum class Retention { UntilAcknowledged, UntilReleased };

    /// Unacknowledged bytes at which the source must pause, which bounds the memory used for a slow caller.
    static constexpr auto highWater = std::size_t(256) << 10U;
    /// Bytes kept for entries that may join. A longer answer can no longer be read from its first chunk.
    static constexpr auto retainedLimit = std::size_t(8) << 20U;

    AttemptOutput(wire::MainLoop& loop, Retention retention)
        : loop_(loop)
        , retention_(retention)
        , detachedAt_(now())
    {
    }

    /// Adds a reader that receives the output from chunk `from` on. If chunks are kept only until acknowledged, the new
    /// reader replaces all others.
    auto attach(wire::schema::ChunkSink::Client sink, ChunkNumber from) -> void;
    /// Removes all readers.
    auto detach() -> void;
    /// Sets the number of the next chunk and the count of tokens before it, for a stream that an earlier process began.
    /// Must be called before any output.
    auto beginAt(ChunkNumber chunk, std::uint32_t token) -> void;
    [[nodiscard]] auto attached() const noexcept -> bool { return !readers_.empty(); }
    /// When the last reader was lost; if there was no reader yet, when the output was created.
    [[nodiscard]] auto detachedAt() const noexcept -> Moment { return detachedAt_; }
    /// Whether every chunk from `from` on is still available.
    [[nodiscard]] auto has(ChunkNumber from) const noexcept -> bool { return from >= first_; }
    /// Stops keeping acknowledged chunks; called when the ledger has stored the answer.
    auto release() -> void;

    auto append(std::string data, std::uint32_t tokens) -> void;
    /// Sets the version of the engine's software, which the first chunk carries.
    auto setSoftware(SoftwareVersion software) -> void { software_ = std::move(software); }
    /// Appends the first chunk of a service's answer, which carries the HTTP status and content type.
    auto appendHead(int status, std::string contentType) -> void;
    /// Ends the answer and tells all readers; later calls have no effect.
    auto end(AnswerEnd end) -> void;
    /// Sends a progress note to the current readers. Notes are neither numbered nor kept.
    auto progress(const std::string& note) -> void;

    [[nodiscard]] auto ended() const noexcept -> bool { return end_.has_value(); }
    /// Why the answer broke off; null while it is in progress or if it is complete.
    [[nodiscard]] auto error() const noexcept -> const Error* { return end_ && end_->error ? &*end_->error : nullptr; }
    /// Whether an entry has acknowledged the end of the answer.
    [[nodiscard]] auto delivered() const noexcept -> bool { return delivered_; }
    [[nodiscard]] auto tokens() const noexcept -> std::uint32_t { return tokens_; }
    /// Resolves when the backlog is below the high-water mark.
    [[nodiscard]] auto writable() -> kj::Promise<void>;

private:
    struct Chunk {
        ChunkNumber number;
        std::string data;
        std::uint32_t tokens = 0;
        std::uint16_t status = 0;
        std::string contentType;
        SoftwareVersion software {};
    };
    struct Reader {
        std::uint64_t id = 0;
        wire::schema::ChunkSink::Client sink;
        /// The first chunk that this reader has not acknowledged.
        ChunkNumber nextUnacknowledged;
        /// Bytes sent but not acknowledged.
        std::size_t backlog = 0;
    };
    auto push(Chunk chunk) -> void;
    auto send(Reader& reader, const Chunk& chunk) -> void;
    auto sendEnd(Reader& reader) -> void;
    auto find(std::uint64_t reader) -> Reader*;
    auto acknowledged(std::uint64_t reader, ChunkNumber number) -> void;
    auto readerLost(std::uint64_t reader) -> void;
    auto trim() -> void;
    auto notifyWritable() -> void;
    [[nodiscard]] auto full() const noexcept -> bool;

    wire::MainLoop& loop_;
    Retention retention_;
    std::list<Reader> readers_;
    std::uint64_t lastReader_ = 0;
    std::deque<Chunk> chunks_;
    std::size_t retainedBytes_ = 0;
    ChunkNumber first_;
    ChunkNumber next_;
    std::uint32_t tokens_ = 0;
    SoftwareVersion software_;
    std::optional<AnswerEnd> end_;
    bool delivered_ = false;
    Moment detachedAt_;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> writable_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace eelgrass::router
