#include "serving/KeptAnswer.h"

#include <utility>

namespace eelgrass::serving {

auto AnswerMemory::take(std::size_t bytes) noexcept -> bool
{
    if (bytes > sharedBytes - taken_)
        return false;
    taken_ += bytes;
    return true;
}

auto KeptAnswer::append(std::string_view bytes) -> bool
{
    const auto size = text_.size() + bytes.size();
    const auto shared = size > AnswerMemory::ownBytes ? size - AnswerMemory::ownBytes : 0;
    if (size > AnswerMemory::maxAnswerBytes || !memory_->take(shared - shared_)) {
        memory_->giveBack(std::exchange(shared_, 0));
        text_ = {};
        return false;
    }
    shared_ = shared;
    text_.append(bytes);
    return true;
}

} // namespace eelgrass::serving
