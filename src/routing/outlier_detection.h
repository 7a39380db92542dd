// Outlier detection: engines that fail or are slower than the others.
#pragma once

#include <vector>

#include "routing/engine.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Ejects failing engines temporarily and detects slow ones. Used only by the Router's thread; `state` must
// outlive it.
class OutlierDetection {
 public:
  explicit OutlierDetection(const RoutingState& state) : state_(state) {}

  // Returns whether the engine fails so often that it gets at most one request at a time.
  //
  // Error responses count as failures: an engine that fails immediately would otherwise look idle and attract
  // all requests. If most engines fail, none is unhealthy for that reason, since the cause lies elsewhere and
  // ejecting them would not help.
  [[nodiscard]] bool unhealthy(const Engine& engine) const;
  // Returns the engine's latency as a multiple of the median of all engines.
  [[nodiscard]] double slowness(const Engine& engine) const;
  // Returns whether the engine's error rate is too high, regardless of the other engines.
  [[nodiscard]] static bool fails_often(const Engine& engine);
  // Updates the median latency and whether most engines fail. `latencies` holds the relative latency of each
  // serving engine.
  void update_fleet(std::vector<double> latencies, std::size_t failing_engines);

  void record_success(Engine& engine) const;
  // Ends the ejection of an engine that is no longer unhealthy.
  void readmit_if_healthy(Engine& engine) const {
    if (!unhealthy(engine)) engine.ejected_until = 0;
  }
  // Records a failure of the engine. Returns whether the engine is ejected, in which case its queued requests
  // have to be placed again.
  //
  // A lost connection does not prove that the engine is unreachable: one malformed response ends all attempts
  // on the connection. The next connect shows whether it is reachable. Taken for unreachable after 11
  // attempts on one connection, an engine was ejected for 3 s and was counted as just started for 15 s more.
  [[nodiscard]] bool record_failure(Engine& engine, Outcome outcome) const;
  // Returns whether an error is attributed to the request for now, because the engine has recently served
  // other requests.
  [[nodiscard]] bool recently_successful(const Engine& engine) const;
  // Resets the failure state of an engine that has restarted.
  void reset(Engine& engine) const { engine.reset_health(median_latency_); }

 private:
  const RoutingState& state_;
  double median_latency_ = 1;
  bool most_fail_ = false;
};

}  // namespace rookproxy::routing
