/// Streams one completion from an entry and prints each event as it comes.
///
///     example-StreamCompletion http://127.0.0.1:8080 demo-caller-key life-report "6205 at 3 kN"
#include "wire/HttpClient.h"
#include "wire/MainLoop.h"

#include <nlohmann/json.hpp>

#include <iostream>

using namespace eelgrass;

namespace {

auto print(kj::Own<wire::HttpStream> stream) -> kj::Promise<void>
{
    auto& open = *stream;
    return open.read().then([stream = kj::mv(stream)](std::string bytes) mutable -> kj::Promise<void> {
        if (bytes.empty())
            return kj::READY_NOW;
        std::cout << bytes << std::flush;
        return print(kj::mv(stream));
    });
}

} // namespace

auto main(int argc, char** argv) -> int
{
    constexpr auto wanted = 5;
    if (argc != wanted) {
        std::cerr << "usage: example-StreamCompletion ENTRY KEY MODEL PROMPT\n";
        return 2;
    }
    auto loop = wire::MainLoop();
    auto client = wire::HttpClient(1, 60);
    const auto body = nlohmann::json { { "model", argv[3] }, { "prompt", argv[4] }, { "stream", true } };
    auto request = wire::HttpRequest { .method = "POST", .url = std::string(argv[1]) + "/v1/completions" };
    request.body = body.dump();
    request.headers = { { "Authorization", std::string("Bearer ") + argv[2] } };
    loop.wait(
        client.open(std::move(request)).then([](kj::Own<wire::HttpStream> stream) { return print(kj::mv(stream)); }));
    return 0;
}
