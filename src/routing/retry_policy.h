// Retry policy: whether and where a request may be sent again.
#pragma once

#include <cstddef>

#include "routing/engine.h"
#include "routing/request.h"
#include "routing/retry_budget_counter.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Checks that apply to every attempt, including the first. Used only by the Router's thread; `state` must
// outlive it.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RoutingState& state) : state_(state) {}

  // Returns whether the request may run on this engine: the engine accepts requests, its zone and machine
  // type are allowed, and no earlier attempt that may have run forbids it.
  [[nodiscard]] bool engine_allowed(const Engine& engine, const Request& request) const;
  // Returns whether another attempt is allowed beside `in_flight` others. Checks that the request is open,
  // the number of attempts, hedging and the retry budget.
  [[nodiscard]] bool attempt_allowed(const Request& request, int in_flight) const;
  // Returns whether the request may be queued again. Ignores the retry budget, which only delays it.
  [[nodiscard]] bool may_continue(const Request& request) const;
  // Returns whether so many healthy engines failed the request that the request itself is considered faulty.
  [[nodiscard]] static bool request_faulty(const Request& request);
  // Returns whether the typical latency of the request's class fits into the time until its deadline.
  [[nodiscard]] bool has_time_left(const Request& request) const;
  // Returns whether a client may safely repeat the request after it has been rejected.
  [[nodiscard]] bool safe_to_retry(const Request& request) const;

  // Counts a request toward the retry budget.
  void record_request() {
    const auto& budget = state_.settings.retry_budget;
    if (budget) budget_counter_.record_request(*budget, state_.now);
  }
  // Counts a retry against the retry budget.
  void record_retry() { budget_counter_.record_retry(state_.now); }

 private:
  [[nodiscard]] std::size_t max_attempts(const Request& request) const {
    return state_.settings_of(request).max_attempts.value_or(state_.settings.max_attempts);
  }

  const RoutingState& state_;
  RetryBudgetCounter budget_counter_;
};

}  // namespace rookproxy::routing
