// Admission: which request may start now, and which is worth more.
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

// Priorities and the check that every send passes. A priority goes from 0 to 3, the highest.
// Used by the Router's thread alone; the arguments of the constructor have to outlive it.
class Admission {
 public:
  Admission(RoutingState& state, ConcurrencyLimit& limit, const SlowStartLimiter& slow_start,
            const RetryPolicy& retries, const OrderedKeys& keys)
      : state_(state), limit_(limit), slow_start_(slow_start), retries_(retries), keys_(keys) {}

  // Sets the weight per unit of work of a new request, and counts it in the mix of present work: weighed by
  // its run time, as it is on an engine at any moment.
  void record_request(Request& request);
  // The request's priority: short work of a high weight first; it is done before the heavy notices.
  //
  // While responses are late, what has the most weight for its work instead, against the present mix: by
  // class, a crowd of light queries took every engine from all reports, the small ones too. Should also guard
  // where a class turns heavy or worthless. Could harm where estimates say nothing of the work.
  [[nodiscard]] int priority(const Request& request) const;
  // The order in which queued requests start: weight per unit of work, aged by the share of the slack that is
  // used up.
  [[nodiscard]] double rank(const Request& request) const;
  // Whether the request may be sent to the engine now. No send goes out but through here.
  [[nodiscard]] bool may_start(Engine& engine, const Request& request) const;
  // Whether a queued request can no longer be served in time: late work only crowds out other.
  [[nodiscard]] bool should_shed(const Request& request) const;
  // The last time at which the request can start and still meet its latency objective.
  [[nodiscard]] Time latest_start(const Request& request) const;

 private:
  // Whether the request's key lets it start: the first of its key, once the key's cooldown is over. A retry
  // of the first does not wait for the cooldown that its own attempt began.
  [[nodiscard]] bool key_allows(const Request& request) const;
  // The weight that a response still has per unit of work: work past its objective takes no room from work
  // that can meet it, whatever made it late. Could harm where late responses are wanted after all: their late
  // weight says how much.
  [[nodiscard]] double weight_rate(const Request& request) const;
  // The share of the aggregate limit that the request may fill: work of little weight for what it takes waits
  // at a fuller limit, by so much of the present work that has more.
  [[nodiscard]] double limit_share(const Request& request) const;

  RoutingState& state_;
  ConcurrencyLimit& limit_;
  const SlowStartLimiter& slow_start_;
  const RetryPolicy& retries_;
  const OrderedKeys& keys_;
  ExponentialAverage log_weight_rate_{0};         // of present work, binary logarithm of weight per second
  ExponentialAverage log_weight_rate_spread_{1};  // mean deviation from it
};

}  // namespace rookproxy::routing
