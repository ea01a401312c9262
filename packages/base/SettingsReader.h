#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace eelgrass {

/// One thing wrong with a settings file.
struct SettingsProblem {
    std::string file;
    int line = 0;
    std::string key;
    std::string reason;

    friend auto operator<<(std::ostream&, const SettingsProblem&) -> std::ostream&;
};

/// Settings, or everything that is wrong with them.
template <typename T> struct Checked {
    T value;
    std::vector<SettingsProblem> problems;

    [[nodiscard]] auto ok() const noexcept -> bool { return problems.empty(); }
};

/// Reads the keys of one YAML map and notes what is wrong with them; a key that nobody read is unknown.
class MapReader {
public:
    MapReader(const YAML::Node& node, std::string prefix, std::string file, std::vector<SettingsProblem>& problems)
        : node_(node)
        , prefix_(std::move(prefix))
        , file_(std::move(file))
        , problems_(problems)
    {
    }

    template <typename T> auto read(const std::string& key, T& into, bool required = false) -> void
    {
        auto value = take(key, required);
        if (!value)
            return;
        try {
            into = value.as<T>();
        } catch (const YAML::Exception&) {
            note(value, key, "has the wrong type");
        }
    }

    auto number(const std::string& key, auto& into, std::uint32_t least, std::uint32_t most, bool required = false)
        -> void
    {
        auto wide = static_cast<std::int64_t>(into);
        read(key, wide, required);
        if (wide < least || wide > most) {
            note(node_[key], key, "must lie between " + std::to_string(least) + " and " + std::to_string(most));
            return;
        }
        into = static_cast<std::remove_reference_t<decltype(into)>>(wide);
    }

    auto inside(const YAML::Node& value, const std::string& key) -> MapReader
    {
        if (!value.IsMap())
            note(value, key, "must be a map");
        return { value, prefix_ + key + ".", file_, problems_ };
    }

    auto take(const std::string& key, bool required) -> YAML::Node
    {
        seen_.insert(key);
        auto value = node_.IsMap() ? node_[key] : YAML::Node(YAML::NodeType::Undefined);
        if (!value && required)
            note(node_, key, "is missing");
        return value;
    }

    auto note(const YAML::Node& at, const std::string& key, std::string reason) -> void
    {
        const auto line = at ? at.Mark().line + 1 : node_.Mark().line + 1;
        problems_.push_back({ file_, line, prefix_ + key, std::move(reason) });
    }

    /// A problem with a key that was read.
    auto noteAt(const std::string& key, std::string reason) -> void { note(node_[key], key, std::move(reason)); }

    /// To be called when every known key was read.
    auto finish() -> void
    {
        if (!node_.IsMap())
            return;
        for (const auto& item : node_) {
            auto key = item.first.as<std::string>("?");
            if (!seen_.contains(key))
                note(item.first, key, "is not a known key");
        }
    }

private:
    YAML::Node node_;
    std::string prefix_;
    std::string file_;
    std::vector<SettingsProblem>& problems_;
    std::set<std::string> seen_;
};

} // namespace eelgrass
