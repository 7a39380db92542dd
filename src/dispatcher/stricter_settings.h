// The settings during a transition, while clients may still use the previous ones.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy {

// Merges two settings so that the result satisfies both.
//
// After a change, clients send requests under the previous settings for a while, and the dispatcher must
// satisfy the previous and the updated settings. Therefore the stricter value of both applies to retries, the
// number of attempts, and the time in which attempts are sent to a draining engine. Removed classes and
// tenants are kept; everything else is taken from `updated`.
[[nodiscard]] routing::Settings merge_stricter(const routing::Settings& previous,
                                               const routing::Settings& updated);

}  // namespace rookproxy
