#pragma once

#include "serving/Types.h"

namespace eelgrass::serving::detail {

/// Name under which the slots of a replica list the adapter.
[[nodiscard]] inline auto modelName(const AdapterName& adapter) -> ModelName { return ModelName(adapter.str()); }

} // namespace eelgrass::serving::detail
