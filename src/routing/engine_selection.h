// Engine selection: the engine in whose queue a request waits.
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

// An engine and its score for a request. The lowest score is the best.
struct ScoredEngine {
  double score = 0;
  // Not owned. Valid until the next engine list.
  Engine* engine = nullptr;
};

// Scores engines by affinity, load and health, and probes the best ones if their load is not known well. Used
// only by the Router's thread; the constructor's arguments must outlive it.
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

  // Returns the score of the engine for the request, in units of affinity distance: 1 is the distance to an
  // engine that holds none of the group's tables.
  //
  // For a load the distance counts negatively, since it should run where its group's readers are not. A hash
  // per request spreads the loads of a group over the other engines, so that all instances do not send them
  // to the same one. An unhealthy engine is tried with one idempotent query at a time to find out when it has
  // recovered.
  [[nodiscard]] double score(const Engine& engine, const Request& request) const;
  // Returns the best engines that the request may run on, in ascending order of score. Valid until the next
  // call.
  [[nodiscard]] const std::vector<ScoredEngine>& best_engines(const Request& request);
  // Probes the best engines, at most once per request, if this instance's own sends tell too little about
  // them. Returns whether the request has to wait for the responses.
  [[nodiscard]] bool probe(Request& request, const std::vector<ScoredEngine>& best);
  // Returns whether the request still waits for probes.
  [[nodiscard]] bool is_probing(const Request& request) const {
    return probes_in_flight_ > 0 && state_.now < request.probing_until;
  }
  // Records the end of a probe, whatever its outcome.
  void record_probe_end() { probes_in_flight_ = std::max(0, probes_in_flight_ - 1); }

 private:
  // Returns whether probing is worth its cost at present.
  [[nodiscard]] bool probes_useful() const;
  // Returns `score` plus the penalties for meeting a load of the request's group on the engine: readers are
  // blocked, and keep their memory, behind a load of their group, and loads of a group behind each other.
  [[nodiscard]] double add_load_conflicts(double score, const Request& request,
                                          const GroupAffinity& group) const;

  RoutingState& state_;
  const Affinity& affinity_;
  const LoadReports& reports_;
  const ConcurrencyLimit& limit_;
  const OutlierDetection& outliers_;
  const RetryPolicy& retries_;
  const SlowStartLimiter& slow_start_;
  // Reused between calls to avoid allocations.
  std::vector<ScoredEngine> best_;
  int probes_in_flight_ = 0;
};

}  // namespace rookproxy::routing
