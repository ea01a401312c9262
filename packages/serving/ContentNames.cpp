#include "serving/ContentNames.h"

namespace eelgrass::serving {

auto ContentNames::learn(const RequestContent& content) -> void
{
    for (const auto& one : content.shared) {
        if (!names_.try_emplace(one.hash, Name { std::string(one.what), one.name }).second)
            continue;
        order_.push_back(one.hash);
        if (order_.size() <= capacity)
            continue;
        names_.erase(order_.front());
        order_.pop_front();
    }
}

auto ContentNames::of(decisions::SharedHash hash) const -> Name
{
    const auto known = names_.find(hash);
    return known == names_.end() ? Name { "unknown", std::to_string(hash.value()) } : known->second;
}

} // namespace eelgrass::serving
