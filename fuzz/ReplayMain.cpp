#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int;

/// Plays the files of a corpus through a fuzz target, where the build has no fuzzer.
auto main(int argc, char** argv) -> int
{
    auto played = 0;
    for (const auto& file : std::filesystem::directory_iterator(argc > 1 ? argv[1] : ".")) {
        auto in = std::ifstream(file.path(), std::ios::binary);
        const auto text = std::string(std::istreambuf_iterator<char>(in), {});
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
        ++played;
    }
    std::cout << played << " inputs\n";
    return played > 0 ? 0 : 1;
}
