// Figures of all serving engines together.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "routing/engine.h"
#include "routing/outlier_detection.h"
#include "routing/slow_start.h"

namespace rookproxy::routing {

// Sums over the engines that take requests.
struct FleetSummary {
  std::vector<double> relative_latencies;  // one of each engine
  double cores = 0;
  double warm_cores = 0;  // of engines that are not warming up
  double own_queries = 0;
  std::size_t failing_engines = 0;
};

// Adds up the serving engines, as the units tell which of them are warm or failing.
[[nodiscard]] FleetSummary summarize_fleet(const std::map<EngineId, Engine>& engines,
                                           const SlowStartLimiter& slow_start,
                                           const OutlierDetection& outliers);

}  // namespace rookproxy::routing
