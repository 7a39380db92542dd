// Which rules bind while settings change.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy {

// Until clients go by new settings they still ask by the former names, and either rules may be held against
// us. So the stricter of both bind: what may be sent again, how often, and how long to a draining engine.
// Classes and tenants that are dropped stay; all else is as in `fresh`.
routing::Settings merge_stricter(const routing::Settings& former, const routing::Settings& fresh);

}  // namespace rookproxy
