#include "routing/fleet_summary.h"

namespace rookproxy::routing {

FleetSummary summarize_fleet(const std::map<EngineId, Engine>& engines, const SlowStartLimiter& slow_start,
                             const OutlierDetection& outliers) {
  FleetSummary summary;
  for (const auto& [id, engine] : engines) {
    if (!engine.is_serving()) continue;
    summary.relative_latencies.push_back(engine.relative_latency.value());
    summary.cores += engine.cores;
    if (!slow_start.warming_up(engine)) summary.warm_cores += engine.cores;
    summary.own_queries += engine.active_attempts;
    if (outliers.fails_often(engine)) ++summary.failing_engines;
  }
  return summary;
}

}  // namespace rookproxy::routing
