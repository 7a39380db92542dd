// Admission: which requests may start now, and in which order.
#pragma once

#include "routing/concurrency_limit.h"
#include "routing/engine.h"
#include "routing/exponential_average.h"
#include "routing/ordered_keys.h"
#include "routing/request.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace rookproxy::routing {

// Computes priorities, from 0 to 3 (highest), and performs the check that every send has to pass. Used only
// by the Router's thread; the constructor's arguments must outlive it.
class Admission {
 public:
  Admission(RoutingState& state, ConcurrencyLimit& limit, const SlowStartLimiter& slow_start,
            const RetryPolicy& retries, const OrderedKeys& keys)
      : state_(state), limit_(limit), slow_start_(slow_start), retries_(retries), keys_(keys) {}

  // Sets the weight per unit of work of a new request and adds it to the statistics of the current mix of
  // requests, weighted by its run time, since longer requests are present for longer.
  void record_request(Request& request);
  // Returns the request's priority. While responses come in time it depends on the class: requests with one
  // thread first, then loads, then the others. While responses are late it depends on the request's weight
  // per unit of work relative to the current mix; otherwise many light queries could displace all heavy ones,
  // including small ones.
  [[nodiscard]] int priority(const Request& request) const;
  // Returns the rank of a queued request; the highest starts first. It is the weight per unit of work,
  // increased with the fraction of the slack that has passed.
  [[nodiscard]] double rank(const Request& request) const;
  // Returns whether the request may be sent to the engine now. Every send has to pass this check.
  [[nodiscard]] bool may_start(Engine& engine, const Request& request) const;
  // Returns whether a queued request should be rejected because it can no longer be served in time and would
  // only delay others.
  [[nodiscard]] bool should_shed(const Request& request) const;
  // Returns the latest time at which the request can start and still meet its latency objective.
  [[nodiscard]] Time latest_start(const Request& request) const;

 private:
  // Returns whether the request's key permits a start: the request is the first of its key, and the key's
  // cooldown is over. A retry of the first request does not wait for the cooldown after its own attempt.
  [[nodiscard]] bool key_allows(const Request& request) const;
  // Returns the weight per unit of work that a response still earns. Work that can no longer meet its
  // objective has only its late weight, so that it does not displace work that can.
  [[nodiscard]] double weight_rate(const Request& request) const;
  // Returns the fraction of the aggregate limit that the request may fill. It is lower for work with less
  // weight per unit of work than most of the current mix.
  [[nodiscard]] double limit_share(const Request& request) const;

  RoutingState& state_;
  ConcurrencyLimit& limit_;
  const SlowStartLimiter& slow_start_;
  const RetryPolicy& retries_;
  const OrderedKeys& keys_;
  // Mean binary logarithm of weight per second of work over the current mix.
  ExponentialAverage log_weight_rate_{0};
  // Mean absolute deviation from log_weight_rate_.
  ExponentialAverage log_weight_rate_spread_{1};
};

}  // namespace rookproxy::routing
