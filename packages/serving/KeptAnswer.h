#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrass::serving {

/// Memory that the long answers of a process share while they are kept.
class AnswerMemory {
public:
    /// What each answer may have whatever the others have taken, so that short ones are never refused.
    static constexpr auto ownBytes = std::size_t(256) << 10U;
    static constexpr auto maxAnswerBytes = std::size_t(8) << 20U;
    /// All answers together, beyond what each has of its own.
    static constexpr auto sharedBytes = std::size_t(32) << 20U;

    [[nodiscard]] auto take(std::size_t bytes) noexcept -> bool;
    auto giveBack(std::size_t bytes) noexcept -> void { taken_ -= bytes; }

private:
    std::size_t taken_ = 0;
};

/// The body of an answer that is kept until it is whole.
class KeptAnswer {
public:
    explicit KeptAnswer(std::shared_ptr<AnswerMemory> memory)
        : memory_(std::move(memory))
    {
    }
    ~KeptAnswer() { memory_->giveBack(shared_); }
    KeptAnswer(const KeptAnswer&) = delete;
    auto operator=(const KeptAnswer&) -> KeptAnswer& = delete;

    /// False if the answer is too long to be kept; what was kept of it is dropped then.
    [[nodiscard]] auto append(std::string_view bytes) -> bool;
    [[nodiscard]] auto text() const noexcept -> const std::string& { return text_; }

private:
    std::shared_ptr<AnswerMemory> memory_;
    std::string text_;
    /// Taken from the shared memory.
    std::size_t shared_ = 0;
};

} // namespace eelgrass::serving
