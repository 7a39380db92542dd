#include "routing/simulation/slow_start_scenario.h"

#include "routing/simulation/cluster_settings.h"

namespace rookproxy::routing::simulation {

namespace {

constexpr double kCoresPerEngine = 8;

}  // namespace

Settings settings_of(const SlowStartScenario& scenario) {
  Settings settings = cluster_settings(scenario.dispatchers);
  settings.slow_start = scenario.slow_start;
  for (ClassIndex index = 0; index < scenario.mean_work_ms.size(); ++index) {
    ClassSettings request_class = cluster_class(index);
    request_class.latency_objective = static_cast<Time>(1000 * scenario.latency_objectives_ms[index]);
    if (index != kLookupClass) request_class.timeout = 25 * kSecond;
    request_class.priority_weight = 1 + 3 * static_cast<double>(index);
    settings.classes.push_back(request_class);
  }
  return settings;
}

std::vector<TrafficClass> traffic_of(const SlowStartScenario& scenario) {
  const std::size_t classes = scenario.relative_rates.size();
  double relative_work = 0;
  for (std::size_t i = 0; i < classes; ++i) {
    relative_work += scenario.relative_rates[i] * scenario.mean_work_ms[i] / 1000;
  }
  std::vector<TrafficClass> traffic;
  for (std::size_t i = 0; i < classes; ++i) {
    TrafficClass& one = traffic.emplace_back();
    one.requests_per_second = scenario.utilization * kCoresPerEngine * scenario.warm_engines *
                              scenario.relative_rates[i] / relative_work;
    one.mean_work = scenario.mean_work_ms[i] * 1000;
    one.coefficient_of_variation = i == kLookupClass ? 1.2 : 0.8;
    one.has_estimate = scenario.estimate_factor > 0;
  }
  return traffic;
}

}  // namespace rookproxy::routing::simulation
