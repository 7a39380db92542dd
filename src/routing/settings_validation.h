// The check of settings that contradict themselves.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Returns the settings as they are. Throws InvalidSettings, naming the setting, if one contradicts itself or
// another.
[[nodiscard]] Settings validated(Settings settings);

}  // namespace rookproxy::routing
