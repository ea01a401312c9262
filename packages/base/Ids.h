#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace eelgrass {

/// A text id of one kind; two kinds never mix.
///
/// ```cpp
/// auto member = MemberId("skf");
/// map.find(member);
/// ```
template <typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value) noexcept
        : value_(std::move(value))
    {
    }

    [[nodiscard]] auto str() const noexcept -> const std::string& { return value_; }
    [[nodiscard]] auto view() const noexcept -> std::string_view { return value_; }
    [[nodiscard]] auto empty() const noexcept -> bool { return value_.empty(); }

    friend auto operator<=>(const StrongId&, const StrongId&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)

private:
    std::string value_;
};

/// A number of one kind; it has an order and a successor, and no arithmetic.
template <typename Tag, typename Representation = std::uint64_t> class StrongNumber {
public:
    constexpr StrongNumber() noexcept = default;
    constexpr explicit StrongNumber(Representation value) noexcept
        : value_(value)
    {
    }

    [[nodiscard]] constexpr auto value() const noexcept -> Representation { return value_; }
    [[nodiscard]] constexpr auto next() const noexcept -> StrongNumber { return StrongNumber(value_ + 1); }

    friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)

private:
    Representation value_ {};
};

using MemberId = StrongId<struct MemberTag>;
using AdapterId = StrongId<struct AdapterTag>;
/// `adapter@version#digest`: the name under which an engine holds weights, so that a name never means other weights.
using ModelName = StrongId<struct ModelTag>;
using TargetId = StrongId<struct TargetTag>;
using AttemptId = StrongId<struct AttemptTag>;
using RequestId = StrongId<struct RequestTag>;
using AvailabilityZone = StrongId<struct AvailabilityZoneTag>;
/// The version of a back end's software, as it names it. Versions are equal or not and have no order; empty if unknown,
/// which equals no other.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using RequestClass = StrongId<struct RequestClassTag>;

/// Number of an accepted configuration; it only rises.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// Number of an adapter's version.
using AdapterVersion = StrongNumber<struct AdapterVersionTag>;
/// Fencing number of a target's owner; raised once a start.
using Epoch = StrongNumber<struct EpochTag>;
/// Place of a chunk in its attempt, from 0.
using ChunkNumber = StrongNumber<struct ChunkNumberTag>;

} // namespace eelgrass

template <typename Tag> struct std::hash<eelgrass::StrongId<Tag>> {
    auto operator()(const eelgrass::StrongId<Tag>& id) const noexcept -> std::size_t
    {
        return std::hash<std::string> {}(id.str());
    }
};
