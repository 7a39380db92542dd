#pragma once

namespace rookproxy::routing::simulation {

// What a test may set, and change while the cluster runs.
struct SimulationConditions {
  // Multiple of the usual traffic.
  double traffic_factor = 1;
  // One dispatcher in ten has this multiple of the mean traffic.
  double busy_dispatcher_factor = 2.75;
  // Share of all traffic that comes to the first dispatcher. 0: it is one like the others.
  double first_dispatcher_share = 0;
  // An engine in slow start stays at its initial capacity until its warm-up period ends.
  bool capacity_grows_at_end = false;
  // Estimates of work as a multiple of the work.
  double estimate_factor = 1;
  double table_groups = 40;
  // Share of attempts whose response and updates are lost.
  double loss_rate = 0;
};

// How often the dispatchers did what they must not do.
struct RuleViolations {
  int duplicate_responses = 0;
  int sends_after_completion = 0;
  // Of non-idempotent requests that may have run already.
  int duplicate_non_idempotent_sends = 0;
  int sends_after_drain = 0;
};

}  // namespace rookproxy::routing::simulation
