#include "decisions/PrefillRate.h"

#include <algorithm>
#include <chrono>

namespace eelgrass::decisions {

namespace {

// Tokens that the figure follows, some eight long prompts; the expected rate counts as this many until then.
constexpr auto memory = 80000.0;
constexpr auto prior = 20000.0;
// However little an engine seems to read, it is tried again; however much, its prompts were cached elsewhere.
constexpr auto least = 0.1;
constexpr auto most = 1.5;

} // namespace

auto PrefillRate::granted(Moment now) noexcept -> void
{
    if (reading_++ == 0)
        mark_ = now;
}

auto PrefillRate::started(std::uint64_t tokens, Moment now) noexcept -> void
{
    if (reading_ == 0)
        return;
    --reading_;
    const auto took = std::chrono::duration<double, std::milli>(now - mark_).count();
    mark_ = now;
    tokens_ += static_cast<double>(tokens);
    milliseconds_ += took;
    if (tokens_ <= memory)
        return;
    milliseconds_ *= memory / tokens_;
    tokens_ = memory;
}

auto PrefillRate::dropped() noexcept -> void
{
    if (reading_ > 0)
        --reading_;
}

auto PrefillRate::perMillisecond() const noexcept -> double
{
    const auto rate = (tokens_ + prior) / (milliseconds_ + prior / expected_);
    return std::clamp(rate, least * expected_, most * expected_);
}

} // namespace eelgrass::decisions
