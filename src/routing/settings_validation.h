// Validation of settings.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Returns the settings unchanged. Throws InvalidSettings, which names the setting, if a setting is out of
// range or contradicts another.
[[nodiscard]] Settings validated(Settings settings);

}  // namespace rookproxy::routing
