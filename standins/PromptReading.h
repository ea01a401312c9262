#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace eelgrass::standins {

/// The prompts that a replica reads, one after the other. Parts that it has read lately, for the same adapter and
/// behind the same parts, are not read again; the last part of a prompt belongs to its request alone.
class PromptReading {
public:
    /// Reads a prompt, given as ID:TOKENS pairs separated by commas; returns how long it takes from now until it has
    /// been read, behind the prompts before it.
    auto read(const std::string& adapter, std::string_view parts, double tokensPerMillisecond, Moment now) -> Duration;

private:
    /// Notes a part as read; whether it was before.
    auto keep(const std::string& part) -> bool;

    /// Each with its adapter and the parts before it, the one that was read last at the end.
    std::deque<std::string> kept_;
    Moment freeAt_ {};
};

} // namespace eelgrass::standins
