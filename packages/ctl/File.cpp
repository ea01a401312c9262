#include "ctl/File.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace eelgrass::ctl {

auto readFile(const std::string& name) -> std::optional<std::string>
{
    auto text = std::stringstream();
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    auto file = std::ifstream(name);
    if (!file)
        return std::nullopt;
    text << file.rdbuf();
    return text.str();
}

} // namespace eelgrass::ctl
