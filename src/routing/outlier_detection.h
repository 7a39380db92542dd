// Outlier detection: engines that fail or lag behind the others.
#pragma once

#include <vector>

#include "routing/engine.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Ejects engines that fail for a while and weighs down slow ones.
// Used by the Router's thread alone; `state` has to outlive it.
class OutlierDetection {
 public:
  explicit OutlierDetection(const RoutingState& state) : state_(state) {}

  // Whether the engine fails so often that it gets one request at a time at most.
  //
  // Responses with an error are as good as none: an engine that fails at once would otherwise look idle and
  // draw all requests. Where most engines look so the fault is ours or everyone's: ejecting them all would
  // only add to it.
  [[nodiscard]] bool unhealthy(const Engine& engine) const;
  // How many times slower than the median of engines it is.
  [[nodiscard]] double slowness(const Engine& engine) const;
  // Counts an engine toward the check of whether most of them fail.
  [[nodiscard]] static bool fails_often(const Engine& engine);
  // Recomputes the median and whether most fail. `latencies` holds the relative latency of each serving
  // engine.
  void update_fleet(std::vector<double> latencies, std::size_t failing_engines);

  void record_success(Engine& engine) const;
  // Ends an ejection unless the engine is still unhealthy.
  void readmit_if_healthy(Engine& engine) const {
    if (!unhealthy(engine)) engine.ejected_until = 0;
  }
  // Counts a failure of the engine. Returns whether it is ejected now: its queue has to be placed anew.
  //
  // A connection that broke says little of its engine: peers spoil one response and all that is open there
  // ends. Whether the engine is unreachable shows at the next connection. Taken for unreachable, 11 attempts
  // on one connection ejected an engine for 3 s and counted it as just started for 15 more.
  [[nodiscard]] bool record_failure(Engine& engine, Outcome outcome) const;
  // Whether an error is blamed on the request for now, since the engine has just served others.
  [[nodiscard]] bool recently_successful(const Engine& engine) const;
  // Forgets the failures of an engine that has started anew.
  void reset(Engine& engine) const { engine.forget_health(median_latency_); }

 private:
  const RoutingState& state_;
  double median_latency_ = 1;
  bool most_fail_ = false;
};

}  // namespace rookproxy::routing
