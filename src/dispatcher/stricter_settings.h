// The settings that are in force while clients may still use the previous ones.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy {

// Joins two settings into the stricter of both.
//
// Until clients use changed settings they still send requests by the previous ones, and either may be held
// against this process. The stricter of both therefore apply to retries, their number, and how long attempts
// are sent to a draining engine. Classes and tenants that were removed stay; all else is as in `updated`.
[[nodiscard]] routing::Settings merge_stricter(const routing::Settings& previous,
                                               const routing::Settings& updated);

}  // namespace rookproxy
