#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/simulation/traffic_class.h"
#include "routing/test_time.h"

namespace rookproxy::routing::simulation {

// Engines that start beside others, and what makes it hard for the dispatchers to stay within their
// slow-start budget.
struct SlowStartScenario {
  std::string name;
  std::uint32_t dispatchers = 100;
  SlowStart slow_start = {0.3, 15 * kSecond, 3, 1'500'000};
  EngineId warm_engines = 10;
  EngineId starting_engines = 1;
  // Mean work as a share of the warm engines' cores.
  double utilization = 0.6;
  // Multiple of that for 4 s from each start.
  double burst_factor = 1;
  // By class; the rates are relative to each other.
  std::vector<double> mean_work_ms = {120, 900, 2000};
  std::vector<double> relative_rates = {12, 2, 0.2};
  // Estimates as a multiple of the work. 0: requests come without.
  double estimate_factor = 1;
  // How often each engine starts, 8 s apart.
  int starts = 1;
  // Every third dispatcher restarts with its cached list after each start.
  bool dispatchers_restart = false;
  // One dispatcher in so many gets lists some seconds late.
  int late_list_one_in = 20;
  // Starting engines are new to the list. False: they have run before.
  bool engines_are_new = true;
  std::uint32_t processes_per_dispatcher = 1;
  double busy_dispatcher_factor = 2.75;
  double first_dispatcher_share = 0;
  // Lists reach the dispatchers within this.
  Time list_spread = 3 * kSecond / 2;
  bool capacity_grows_at_end = false;
  std::vector<double> latency_objectives_ms = {600, 2000, 4000, 4000, 4000};
  // So long after each start all dispatchers restart without a cached list, one after the other within
  // `restart_period`, and have a list within `list_delay_after_restart`. 0: none does.
  Time all_restart_after = 0;
  Time restart_period = 0;
  Time list_delay_after_restart = 0;
  // A starting engine rejects what comes beyond these.
  std::size_t max_attempts_of_starting_engine = 64;
  // From one starting engine to the next.
  double seconds_between_starts = 0;
};

// The settings of the scenario's dispatchers.
Settings settings_of(const SlowStartScenario& scenario);

// The scenario's traffic before any burst.
std::vector<TrafficClass> traffic_of(const SlowStartScenario& scenario);

}  // namespace rookproxy::routing::simulation
