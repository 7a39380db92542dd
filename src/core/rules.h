// Which rules bind while settings change.
#pragma once

#include "lemonshift/router.h"

namespace rookproxy {

// Until clients go by new settings they still ask by the former names, and either rules may be held against
// us. So the stricter of both bind: what may be sent again, how often, and how long to a draining engine.
// Classes and tenants that are dropped stay; all else is as in `fresh`.
lemonshift::Settings merge_stricter(const lemonshift::Settings& former, const lemonshift::Settings& fresh);

}  // namespace rookproxy
