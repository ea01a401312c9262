#include "wire/Door.h"
#include "tests/harness/StreamPair.h"
#include "wire/MainLoop.h"

#include <cstddef>
#include <cstdint>

using namespace eelgrass;

// What a stranger sends to a target process's port before it proved anything. Nobody is ever admitted.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    static auto loop = wire::MainLoop();
    auto pair = tests::StreamPair();
    auto admit = [](const std::string&, wire::schema::EntryListener::Client) -> wire::schema::TargetSession::Client {
        std::abort();
    };
    auto connection = wire::Connection(kj::mv(pair.far), kj::heap<wire::Door>("a-secret-of-the-fleet", admit));
    // As much as the socket takes at once; what comes back is not read.
    auto writing = pair.near->write(data, size).catch_([](kj::Exception&&) {});
    pair.near->shutdownWrite();
    loop.wait(connection.closed());
    return 0;
}
