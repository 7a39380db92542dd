#pragma once

#include <cstdint>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing::simulation {

// The first classes of a cluster: short lookups, longer reports, and loads that are not idempotent.
inline constexpr ClassIndex kLookupClass = 0;
inline constexpr ClassIndex kReportClass = 1;
inline constexpr ClassIndex kLoadClass = 2;

// What the dispatchers of all simulated clusters have in common; without classes.
Settings cluster_settings(std::uint32_t instance_count);

// What the class of this index has in common in all simulated clusters.
ClassSettings cluster_class(ClassIndex index);

}  // namespace rookproxy::routing::simulation
