// Load reports from engines, and how much confidence they get.
#pragma once

#include "routing/engine.h"
#include "routing/exponential_average.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Estimates the load of all instances on an engine from its reports and from this instance's own attempts.
// Used only by the Router's thread; `state` must outlive it.
class LoadReports {
 public:
  explicit LoadReports(const RoutingState& state) : state_(state) {}

  // Returns the confidence in reports in general, from 0 to 1.
  [[nodiscard]] double confidence() const;
  // Returns the confidence in the engine's last report, from 0 to 1, which decreases with its age.
  [[nodiscard]] double confidence(const Engine& engine) const;
  // Returns whether the engine's last probe is long enough ago for another one.
  [[nodiscard]] bool may_probe(const Engine& engine) const;
  // Returns whether the confidence in reports is high enough for probes.
  [[nodiscard]] bool probes_useful() const;
  // Stores a report. If it has no number of queries, the number is estimated from the most used resource:
  // from the threads that would keep it as busy, and beyond full use from the ratio of overcommitted memory.
  // Returns whether the report shows overcommitted memory on an engine that pages.
  [[nodiscard]] bool record(Engine& engine, const LoadReport& report) const;
  // Records that a response carried a report.
  void record_report_in_response() { responses_carry_reports_ = true; }
  // Returns whether any response has carried a report so far.
  [[nodiscard]] bool responses_carry_reports() const { return responses_carry_reports_; }
  // Records that an engine rejected a request. If a fresh report shows free capacity there, reports are
  // outdated and would attract every instance to the engine that looked idle: the confidence in all reports
  // is lowered and recovers with time. Where engines cap their sessions far below what they can run, load is
  // then spread by this instance's own sends.
  void record_rejection(const Engine& engine);

  // Returns the estimated load of all instances on an engine, in queries on an engine of average size.
  //
  // Without a fresh report, the load of the other instances is extrapolated from this instance's own
  // attempts, starting from an even spread. Requests in this instance's queue count only once and are not
  // extrapolated; otherwise a few queued requests would drive the next ones to engines without their tables.
  [[nodiscard]] double estimated_load(const Engine& engine) const;
  // Returns whether a fresh report shows the engine as full. `capacity_share` is the fraction of its capacity
  // that it has now.
  [[nodiscard]] bool shows_full(const Engine& engine, double capacity_share) const;

 private:
  // Returns the estimated number of queries on the engine: those of the last report that have presumably not
  // ended since, plus those that this instance sent since. Without the decay, engines that were reported as
  // full would get no requests after they became idle. Queries that stay much longer than their run time are
  // underestimated.
  [[nodiscard]] double queue_depth(const Engine& engine) const;

  const RoutingState& state_;
  bool responses_carry_reports_ = false;
  // Loss of confidence at the last relevant rejection, from 0 to 1.
  double confidence_loss_ = 0;
  Time confidence_lost_at_ = 0;
};

}  // namespace rookproxy::routing
