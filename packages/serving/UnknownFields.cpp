#include "serving/UnknownFields.h"

#include "base/Log.h"
#include "platform/AnswerHeaders.h"

#include <algorithm>
#include <cctype>

namespace eelgrass::serving {

auto UnknownFields::record(const wire::HeaderFields& fields, const InstanceId& replica) -> void
{
    for (const auto field : hosting::unknownFieldNames(fields)) {
        auto name = std::string(field.substr(0, maxNameLength));
        std::transform(name.begin(), name.end(), name.begin(),
            [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        if (!names_.contains(name) && names_.size() >= maxNames)
            name = "other";
        else if (names_.insert(name).second)
            log::info("answer field unknown", { { "field", name }, { "replica", replica.str() } });
        metrics_.count("eelgrass_unknown_answer_fields_total", { { "field", name } });
    }
}

} // namespace eelgrass::serving
