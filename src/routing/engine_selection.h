// Engine selection: which engine a request is queued on.
#pragma once

#include <algorithm>
#include <vector>

#include "routing/affinity.h"
#include "routing/concurrency_limit.h"
#include "routing/engine.h"
#include "routing/load_reports.h"
#include "routing/outlier_detection.h"
#include "routing/request.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace rookproxy::routing {

// An engine and how well it fits a request: the least score is the best.
struct ScoredEngine {
  double score = 0;
  Engine* engine = nullptr;  // not owned, valid until the next engine list
};

// Scores engines by affinity, load and health, and probes the best where little is known of them.
// Used by the Router's thread alone; the arguments of the constructor have to outlive it.
class EngineSelection {
 public:
  EngineSelection(RoutingState& state, const Affinity& affinity, const LoadReports& reports,
                  const ConcurrencyLimit& limit, const OutlierDetection& outliers, const RetryPolicy& retries,
                  const SlowStartLimiter& slow_start)
      : state_(state),
        affinity_(affinity),
        reports_(reports),
        limit_(limit),
        outliers_(outliers),
        retries_(retries),
        slow_start_(slow_start) {}

  // How well the engine fits the request, in units of distance: 1 is as far as an engine that has nothing of
  // its group.
  //
  // A load goes where its group's readers are not, so its distance counts the other way round; of the many
  // engines that are none's preferred one each load draws another, or all instances' loads of a group would
  // meet at one. An unhealthy engine is tried with one idempotent query at a time, or it would never be known
  // to be well again.
  [[nodiscard]] double score(const Engine& engine, const Request& request) const;
  // The few best engines that the request may run on, the best first. Valid until the next call.
  [[nodiscard]] const std::vector<ScoredEngine>& best_engines(const Request& request);
  // Sends probes to the best engines where our own sends say little of them, at most once for a request.
  // Returns whether the request has to wait for their responses.
  [[nodiscard]] bool probe(Request& request, const std::vector<ScoredEngine>& best);
  // Whether the request still waits for probes.
  [[nodiscard]] bool is_probing(const Request& request) const {
    return probes_in_flight_ > 0 && state_.now < request.probing_until;
  }
  // A probe has ended, whatever its outcome.
  void record_probe_end() { probes_in_flight_ = std::max(0, probes_in_flight_ - 1); }

 private:
  // Whether probes would tell more than they cost now.
  [[nodiscard]] bool probes_pay() const;
  // The score with what meeting a load of the request's group on the engine adds to it: readers stand still,
  // keeping memory, behind a load of their group; a load behind its own kind.
  [[nodiscard]] double add_load_conflicts(double score, const Request& request,
                                          const GroupAffinity& group) const;

  RoutingState& state_;
  const Affinity& affinity_;
  const LoadReports& reports_;
  const ConcurrencyLimit& limit_;
  const OutlierDetection& outliers_;
  const RetryPolicy& retries_;
  const SlowStartLimiter& slow_start_;
  std::vector<ScoredEngine> best_;  // kept between calls for its memory
  int probes_in_flight_ = 0;
};

}  // namespace rookproxy::routing
