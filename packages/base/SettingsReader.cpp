#include "base/SettingsReader.h"

namespace eelgrass {

auto operator<<(std::ostream& out, const SettingsProblem& problem) -> std::ostream&
{
    return out << problem.file << ":" << problem.line << ": " << problem.key << ": " << problem.reason;
}

} // namespace eelgrass
