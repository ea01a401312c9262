#include "decisions/Rendezvous.h"

#include <xxhash.h>

namespace eelgrass::decisions {

auto nameHash(std::string_view name) noexcept -> std::uint64_t { return XXH3_64bits(name.data(), name.size()); }

} // namespace eelgrass::decisions
