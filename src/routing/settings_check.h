// Settings that contradict themselves are turned down by name. No decision.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

Settings validated(Settings s);  // throws BadSettings, naming the setting

}  // namespace rookproxy::routing
