// Concurrency limits: how many threads our attempts may use on one engine, and on all of them together.
#pragma once

#include "routing/engine.h"
#include "routing/load_reports.h"
#include "routing/outlier_detection.h"
#include "routing/request.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"
#include "routing/threads_by_priority.h"

namespace rookproxy::routing {

// The threads of all instances' queries that fill an engine of so many cores.
[[nodiscard]] double full_load_threads(double cores);

// Adaptive limits: additive increase for responses in time, multiplicative decrease for late ones (AIMD).
// Used by the Router's thread alone; the arguments of the constructor have to outlive it.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(const RoutingState& state, const SlowStartLimiter& slow_start, const LoadReports& reports,
                   const OutlierDetection& outliers)
      : state_(state), slow_start_(slow_start), reports_(reports), outliers_(outliers) {}

  // Whether an engine may be sent more at this priority. What runs at a lower priority gives way there, so it
  // takes no room from what ranks above it. A fresh report that the engine is full forbids it as well: one
  // query of each instance may be too many.
  [[nodiscard]] bool engine_has_capacity(const Engine& engine, int priority) const;
  // Whether the engine's memory has room for the request's grant. Where engines let in more than their memory
  // holds, all on them slow down together, and reports of it come too late: each instance, told of room,
  // fills its limit, and then all wait until the report is old. So each keeps its grants within its own part
  // of an engine's memory.
  [[nodiscard]] bool memory_has_capacity(const Engine& engine, const Request& request) const;
  // Whether all our attempts together leave room for `threads` more at this priority, within the part
  // `limit_share` of the aggregate limit. It bounds many instances where the limit of one engine holds less
  // than a query.
  //
  // Room for chance is there only while the mean over some seconds is within the limit: what lasts is no
  // chance, and all instances have it at once. 100 that each kept it filled held 8 threads a core. Where the
  // limit is under one query a query fits if half of it does, or limits of two threads held four. Could harm
  // a lone heavy query, which then waits.
  [[nodiscard]] bool aggregate_has_capacity(int priority, double limit_share, int threads);

  // Adds (`by` 1) or removes (-1) an attempt of the request.
  void count_attempt(Engine& engine, const Request& request, const Attempt& attempt, int by) {
    const int threads = state_.settings_of(request).threads;
    engine.count_attempt(attempt, threads, by);
    if (!attempt.sent_during_warm_up) usage_.present.add(attempt.priority, by * threads);
  }
  // Brings the mean usage up to the present time.
  void update_usage();
  // Sets the aggregate limit from the cores of engines that are not warming up.
  void resize(double warm_cores);

  void record_response(Engine& engine, bool in_time);
  // An attempt that was never answered, or rejected: worse than late.
  void record_unanswered();
  // A query waits for memory, which is heard of at once, a late response only seconds later: too much runs.
  void record_memory_pressure();

  // Whether nearly all responses come in time: the aggregate limit is at its start or above.
  [[nodiscard]] bool unrestricted() const;
  // Whether the aggregate limit has grown as far as chance allows.
  [[nodiscard]] bool fully_open() const;

 private:
  // Sets the aggregate limit's factor, within its bounds. An instance that carries several times the others'
  // traffic has a part too small: the limit grows on while it is what holds queries back and nearly all
  // responses come in time all the same.
  void set_factor(double factor);

  const RoutingState& state_;
  const SlowStartLimiter& slow_start_;
  const LoadReports& reports_;
  const OutlierDetection& outliers_;
  ThreadUsage usage_;         // of our attempts, except those on engines that warm up
  double start_threads_ = 1;  // that the aggregate limit starts with
  double factor_ = 1;         // the present limit as a share of that
  ExponentialAverage late_share_;
  Time limited_at_ = kLongAgo;  // the last time that the aggregate limit held a request back
};

}  // namespace rookproxy::routing
