// Concurrency limits: how many threads this instance's attempts may use on one engine and on all engines.
#pragma once

#include "routing/engine.h"
#include "routing/load_reports.h"
#include "routing/outlier_detection.h"
#include "routing/request.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"
#include "routing/threads_by_priority.h"

namespace rookproxy::routing {

// Returns the number of threads, over all instances, at which an engine with `cores` cores is fully loaded.
[[nodiscard]] double full_load_threads(double cores);

// Adaptive limits with additive increase for responses in time and multiplicative decrease for late ones
// (AIMD). Used only by the Router's thread; the constructor's arguments must outlive it.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const RoutingState& state, const SlowStartLimiter& slow_start, const LoadReports& reports,
                   const OutlierDetection& outliers)
      : state_(state), slow_start_(slow_start), reports_(reports), outliers_(outliers) {}

  // Returns whether the engine may be sent another request at this priority. Attempts at lower priorities are
  // not counted, since they yield on the engine. A fresh report that the engine is full also forbids it: one
  // query from each instance may be too many.
  [[nodiscard]] bool engine_has_capacity(const Engine& engine, int priority) const;
  // Returns whether the request's grant fits into this instance's share of the engine's memory. Where engines
  // page on overcommitted memory, all queries on them slow down and load reports come too late: every
  // instance that sees free memory would fill it.
  [[nodiscard]] bool memory_has_capacity(const Engine& engine, const Request& request) const;
  // Returns whether another `threads` threads at this priority fit into the fraction `limit_share` of the
  // aggregate limit. The aggregate limit is needed where many instances each have a per-engine limit below
  // one query.
  //
  // The burst allowance applies only while the mean usage is within the limit: sustained use is no random
  // burst, and all instances would use the allowance at once. Above the mean, a query fits if half of its
  // threads do, so that a limit of few threads is not overshot by a multiple; a single wide query may have to
  // wait.
  [[nodiscard]] bool aggregate_has_capacity(int priority, double limit_share, int threads);

  // Adds (`by` = 1) or removes (`by` = -1) an attempt of the request.
  void count_attempt(Engine& engine, const Request& request, const Attempt& attempt, int by) {
    const int threads = state_.settings_of(request).threads;
    engine.count_attempt(attempt, threads, by);
    if (!attempt.sent_during_warm_up) usage_.present.add(attempt.priority, by * threads);
  }
  // Updates the mean usage to the current time.
  void update_usage();
  // Sets the aggregate limit from the cores of the engines that are not warming up.
  void resize(double warm_cores);

  void record_response(Engine& engine, bool in_time);
  // Records an attempt that got no response or was rejected, which lowers the aggregate limit like a late
  // response.
  void record_unanswered();
  // Records that a query waits for memory: an early sign of overload, before any response is late.
  void record_memory_pressure();

  // Returns whether the aggregate limit is at its initial value or above, as it is while nearly all responses
  // come in time.
  [[nodiscard]] bool unrestricted() const;
  // Returns whether the aggregate limit has reached its normal maximum.
  [[nodiscard]] bool at_normal_maximum() const;

 private:
  // Sets the factor of the aggregate limit within its bounds. The normal maximum may be exceeded while the
  // limit holds queries back and nearly all responses come in time: this instance then carries more than its
  // share of the traffic.
  void set_factor(double factor);

  const RoutingState& state_;
  const SlowStartLimiter& slow_start_;
  const LoadReports& reports_;
  const OutlierDetection& outliers_;
  // Threads of this instance's attempts, except those on engines that warm up.
  ThreadUsage usage_;
  // Initial aggregate limit, in threads.
  double start_threads_ = 1;
  // Current aggregate limit as a fraction of the initial one.
  double factor_ = 1;
  ExponentialAverage late_share_;
  // Last time that the aggregate limit held a request back.
  Time limited_at_ = kLongAgo;
};

}  // namespace rookproxy::routing
