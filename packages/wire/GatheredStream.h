#pragma once

#include <kj/async-io.h>
#include <kj/vector.h>

#include <string>

namespace eelgrass::wire {

/// A stream that sends what is written in one turn of the loop in one piece at the end of that turn, and reads ahead.
///
/// Load made for: tokens of many answers relayed at once. One RPC message is several writes and two reads, and a token
/// is three messages; sent one by one, the system calls cost more than all else. Nothing waits for a later turn.
///
/// A write is done when its bytes are gathered, as with the kernel's own buffer; a failure shows in the next write.
///
/// ```cpp
/// auto gathered = GatheredStream(*stream);
/// auto network = capnp::TwoPartyVatNetwork(gathered, side);
/// ```
class GatheredStream final : public kj::AsyncIoStream {
public:
    /// `inner` must outlive this.
    explicit GatheredStream(kj::AsyncIoStream& inner);
    ~GatheredStream() noexcept(false);
    KJ_DISALLOW_COPY(GatheredStream);

    auto tryRead(void* buffer, size_t minBytes, size_t maxBytes) -> kj::Promise<size_t> override;
    auto write(const void* buffer, size_t size) -> kj::Promise<void> override;
    auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) -> kj::Promise<void> override;
    auto whenWriteDisconnected() -> kj::Promise<void> override { return inner_.whenWriteDisconnected(); }
    auto shutdownWrite() -> void override;

private:
    auto readSome(char* buffer, size_t minBytes, size_t maxBytes, size_t got) -> kj::Promise<size_t>;
    auto takeBuffered(char* buffer, size_t maxBytes) -> size_t;
    auto gathered() -> kj::Promise<void>;
    auto flush() -> kj::Promise<void>;
    auto settleWriters() -> void;
    auto sendAtOnce() -> void;

    kj::AsyncIoStream& inner_;
    std::string readAhead_;
    size_t readAheadSize_ = 0;
    size_t readAheadFrom_ = 0;
    std::string unsent_;
    /// In the inner stream's hands.
    std::string sending_;
    bool flushing_ = false;
    kj::Maybe<kj::Exception> broken_;
    kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> writers_;
    kj::Promise<void> flushed_ = kj::READY_NOW;
};

} // namespace eelgrass::wire
