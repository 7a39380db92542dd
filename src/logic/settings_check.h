// Settings that contradict themselves are turned down by name. No decision.
#pragma once

#include "lemonshift/router.h"

namespace lemonshift {

Settings validated(Settings s);  // throws BadSettings, naming the setting

}  // namespace lemonshift
