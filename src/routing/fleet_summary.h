// Statistics over all serving engines.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "routing/engine.h"
#include "routing/outlier_detection.h"
#include "routing/slow_start.h"

namespace rookproxy::routing {

// Sums over the engines that accept requests.
struct FleetSummary {
  // Relative latency of each engine.
  std::vector<double> relative_latencies;
  double cores = 0;
  // Cores of the engines that are not warming up.
  double warm_cores = 0;
  double own_queries = 0;
  std::size_t failing_engines = 0;
};

// Summarizes the serving engines. `slow_start` and `outliers` tell which of them are warming up or failing.
[[nodiscard]] FleetSummary summarize_fleet(const std::map<EngineId, Engine>& engines,
                                           const SlowStartLimiter& slow_start,
                                           const OutlierDetection& outliers);

}  // namespace rookproxy::routing
