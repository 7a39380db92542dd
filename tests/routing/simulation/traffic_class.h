#pragma once

namespace rookproxy::routing::simulation {

// The requests that come of one class, over the whole cluster.
struct TrafficClass {
  double requests_per_second = 0;
  // Microseconds of one thread.
  double mean_work = 0;
  double coefficient_of_variation = 1;
  // Whether requests come with an estimate of their work.
  bool has_estimate = true;
};

}  // namespace rookproxy::routing::simulation
