#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace eelgrass::ctl {

/// What the operator asked for: the words of the command and its options.
struct Invocation {
    std::vector<std::string> words;
    std::string entry;
    std::string keyFile;
    bool json = false;
    std::string member;
    std::string base;
    std::string digest;
    std::string requestClass;
    std::vector<std::string> allow;
    /// Version of the configuration that a patch is against; empty when not given.
    std::string against;
    std::string role;
    bool activate = false;
    bool undo = false;
};

/// Where a command writes: results to `out`, what went wrong to `err`.
struct Streams {
    std::ostream& out;
    std::ostream& err;
};

} // namespace eelgrass::ctl
