// Load reports: what engines tell of their queues, and how far it is believed.
#pragma once

#include "routing/engine.h"
#include "routing/exponential_average.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Turns load reports into estimates of what all instances have on an engine.
// Used by the Router's thread alone; `state` has to outlive it.
class LoadReports {
 public:
  explicit LoadReports(const RoutingState& state) : state_(state) {}

  // How far reports of all engines are believed, from 0 to 1.
  [[nodiscard]] double confidence() const;
  // How far the engine's last report is believed now, from 0 to 1; it ages.
  [[nodiscard]] double confidence(const Engine& engine) const;
  // Whether reports are believed enough, and this engine's last probe is long enough ago, for a probe to pay.
  [[nodiscard]] bool may_probe(const Engine& engine) const;
  // Whether probes pay at all at present.
  [[nodiscard]] bool probes_pay() const;
  // Stores a report. Where it counts no queries they are told by the resource that is used most: the threads
  // that would keep it so busy, which says little of a queue until the use nears 1; beyond 1 it is so many
  // times the memory there is. Returns whether it shows more memory granted than the engine has, where that
  // slows all queries.
  [[nodiscard]] bool record(Engine& engine, const LoadReport& report) const;
  // Notes that some response carried a report.
  void record_report_in_response() { come_with_responses_ = true; }
  // Whether responses have carried reports so far.
  [[nodiscard]] bool come_with_responses() const { return come_with_responses_; }
  // An engine that a fresh report shows with room has rejected a request as full: reports are old, and draw
  // every instance to the engine that looked idle seconds ago. All are believed less for a while, and then
  // again by themselves. Could harm where engines cap their sessions far below what they can run: then load
  // is spread by our own sends, as without reports.
  void record_rejection(const Engine& engine);

  // What all instances have on an engine, in queries on an engine of the usual size.
  //
  // Our part is known, that of the others guessed from it: few sends tell little, so the guess starts from an
  // even spread. A report is better while it is fresh. What waits in our own queue is no sample of others'
  // and counts once: with 147 instances, one query queued at its preferred engine weighed like 17 there and
  // sent the next of its group off to an engine without its tables.
  [[nodiscard]] double estimated_load(const Engine& engine) const;
  // Whether a fresh report shows the engine full, given the share of its capacity that it has now.
  [[nodiscard]] bool shows_full(const Engine& engine, double capacity_share) const;

 private:
  // The queries that the last report counted and that have not ended since, plus those that we sent.
  // Nobody sends to an engine that all were shown full: taken as it was for a second, reports of 10 engines
  // held back 137 queries of three instances while some of these engines stood empty. Could harm where
  // queries stay far longer than they run.
  [[nodiscard]] double queue_depth(const Engine& engine) const;

  const RoutingState& state_;
  bool come_with_responses_ = false;
  double distrust_ = 0;  // at the last rejection
  Time distrusted_at_ = 0;
};

}  // namespace rookproxy::routing
