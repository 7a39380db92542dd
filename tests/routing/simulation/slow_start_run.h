#pragma once

#include <cstdint>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/simulation/simulated_cluster.h"
#include "routing/simulation/slow_start_scenario.h"
#include "routing/simulation/slow_start_usage.h"

namespace rookproxy::routing::simulation {

// What the clients and the starting engines had of a run.
struct ServiceLevel {
  // Share of the starting engines' cores that was used while they warmed up.
  double utilization = 0;
  // Shares of the requests that arrived meanwhile.
  double served = 0;
  double served_in_time = 0;
  // Seconds from the last start until the engines get nine tenths of a warm one's work; negative: never.
  double seconds_to_full_share = 0;
};

// One run of a slow-start scenario.
class SlowStartRun {
 public:
  SlowStartRun(SlowStartScenario scenario, std::uint64_t seed);
  void play();
  [[nodiscard]] SlowStartUsage usage() const;
  [[nodiscard]] ServiceLevel service_level() const;

 private:
  void start_engines(bool first_round);
  void start_engine(EngineId index, bool first_round);
  void publish_list();
  void begin_burst();
  void restart_some_dispatchers();
  void restart_all_dispatchers();
  [[nodiscard]] double utilization() const;
  [[nodiscard]] double seconds_to_full_share() const;

  SlowStartScenario scenario_;
  SimulatedCluster cluster_;
  std::vector<EngineId> starting_engines_;
  Time warm_up_began_at_ = 0;
  Time warm_up_ended_at_ = 0;
  Time last_start_at_ = 0;
};

}  // namespace rookproxy::routing::simulation
