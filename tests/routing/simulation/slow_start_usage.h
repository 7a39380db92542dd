#pragma once

#include <cstddef>

#include "rookproxy/routing/router.h"
#include "routing/simulation/simulated_cluster.h"

namespace rookproxy::routing::simulation {

// The most that a starting engine was sent within any overload window, as a share of what the settings allow.
struct SlowStartUsage {
  // Work from dispatchers whose engine list had the start.
  double listed_work = 0;
  // Work from all dispatchers, in windows where over two thirds came from those.
  double all_work = 0;
  // As listed_work, with each request counted as one of mean work.
  double listed_requests = 0;
};

// Raises `usage` to what the windows of one engine process came to.
void add_usage(const SimulatedCluster& cluster, const SlowStart& slow_start, std::size_t process,
               SlowStartUsage& usage);

}  // namespace rookproxy::routing::simulation
