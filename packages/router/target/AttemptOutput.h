#pragma once

#include "router/WireTypes.h"
#include "wire/MainLoop.h"

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>

namespace eelgrass::router {

/// The answer of one attempt on its way to the entries that read it: numbered chunks, kept until they are acknowledged.
///
/// A chunk that was sent on a session that died is sent again on the next, from the number that the entry names; so
/// nothing is lost and nothing comes twice. The output of an attempt that may run only once is kept whole until it is
/// released, so that an entry that joins it reads it from its first chunk.
class AttemptOutput {
public:
    enum class Keep { UntilAcknowledged, UntilReleased };

    /// Unacknowledged bytes at which the source is to pause: a caller that reads slowly costs no more memory than this.
    static constexpr auto highWater = std::size_t(256) << 10U;
    /// Bytes kept for entries that may join. A longer answer can no longer be joined from its beginning.
    static constexpr auto keptLimit = std::size_t(8) << 20U;

    AttemptOutput(wire::MainLoop& loop, Keep keep)
        : loop_(loop)
        , keep_(keep)
        , detachedAt_(now())
    {
    }

    /// Sends to `sink` too, or alone where the output is not kept, beginning with chunk `from`.
    auto attach(wire::schema::ChunkSink::Client sink, ChunkNumber from) -> void;
    auto detach() -> void;
    /// For a stream that an earlier process began: its next chunk and how many tokens came before. Called before any
    /// output.
    auto beginAt(ChunkNumber chunk, std::uint32_t token) -> void;
    [[nodiscard]] auto attached() const noexcept -> bool { return !readers_.empty(); }
    /// When the last reader was lost.
    [[nodiscard]] auto detachedAt() const noexcept -> Moment { return detachedAt_; }
    /// Whether every chunk from `from` on is still here.
    [[nodiscard]] auto has(ChunkNumber from) const noexcept -> bool { return from >= first_; }
    /// The ledger has the answer: what was acknowledged is no longer kept.
    auto release() -> void;

    auto append(std::string data, std::uint32_t tokens) -> void;
    /// First chunk of a service's answer, with its status.
    auto appendHead(int status, std::string contentType) -> void;
    auto end(AnswerEnd end) -> void;
    auto progress(const std::string& note) -> void;

    [[nodiscard]] auto ended() const noexcept -> bool { return end_.has_value(); }
    /// Why the answer broke off; null while it goes on, or if it is whole.
    [[nodiscard]] auto error() const noexcept -> const Error* { return end_ && end_->error ? &*end_->error : nullptr; }
    /// Whether an entry has the whole answer.
    [[nodiscard]] auto delivered() const noexcept -> bool { return delivered_; }
    [[nodiscard]] auto tokens() const noexcept -> std::uint32_t { return tokens_; }
    /// Kept when the backlog is under the high-water mark again.
    [[nodiscard]] auto writable() -> kj::Promise<void>;

private:
    struct Chunk {
        ChunkNumber number;
        std::string data;
        std::uint32_t tokens = 0;
        std::uint16_t status = 0;
        std::string contentType;
    };
    struct Reader {
        std::uint64_t id = 0;
        wire::schema::ChunkSink::Client sink;
        /// The chunk that is acknowledged next.
        ChunkNumber awaited;
        /// Bytes sent and not acknowledged.
        std::size_t backlog = 0;
    };
    auto push(Chunk chunk) -> void;
    auto send(Reader& reader, const Chunk& chunk) -> void;
    auto sendEnd(Reader& reader) -> void;
    auto find(std::uint64_t reader) -> Reader*;
    auto acknowledged(std::uint64_t reader, ChunkNumber number) -> void;
    auto broken(std::uint64_t reader) -> void;
    auto trim() -> void;
    auto wake() -> void;
    [[nodiscard]] auto full() const noexcept -> bool;

    wire::MainLoop& loop_;
    Keep keep_;
    std::list<Reader> readers_;
    std::uint64_t lastReader_ = 0;
    std::deque<Chunk> chunks_;
    std::size_t kept_ = 0;
    ChunkNumber first_;
    ChunkNumber next_;
    std::uint32_t tokens_ = 0;
    std::optional<AnswerEnd> end_;
    bool delivered_ = false;
    Moment detachedAt_;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> writable_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace eelgrass::router
