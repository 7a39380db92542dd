// Retry policy: whether and where a request may be sent once more.
#pragma once

#include <cstddef>

#include "routing/engine.h"
#include "routing/request.h"
#include "routing/retry_budget_counter.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Guards that every send passes, the first one included.
// Used by the Router's thread alone; `state` has to outlive it.
class RetryPolicy {
 public:
  explicit RetryPolicy(const RoutingState& state) : state_(state) {}

  // Whether the request may run on this engine at all: it takes requests, its zone and machine type are
  // allowed, and an earlier attempt that may have run does not forbid it.
  [[nodiscard]] bool engine_allowed(const Engine& engine, const Request& request) const;
  // Whether one more attempt is allowed beside `in_flight` others: request open, attempts, hedging, retry
  // budget.
  [[nodiscard]] bool attempt_allowed(const Request& request, int in_flight) const;
  // Whether the request may be placed once more. A spent budget only holds it back for a while.
  [[nodiscard]] bool may_continue(const Request& request) const;
  // Whether so many healthy engines failed the request that the fault is taken to be its own.
  [[nodiscard]] static bool request_at_fault(const Request& request);
  // Whether a usual latency of the request's class fits into the time until its deadline.
  [[nodiscard]] bool time_left(const Request& request) const;
  // Whether a client may safely send the request once more after it has been rejected.
  [[nodiscard]] bool harmless_to_repeat(const Request& request) const;

  // Counts a request toward the retry budget.
  void record_request() {
    const auto& budget = state_.settings.retry_budget;
    if (budget) budget_counter_.record_request(*budget, state_.now);
  }
  // Counts a further attempt against it.
  void record_retry() { budget_counter_.record_retry(state_.now); }

 private:
  [[nodiscard]] std::size_t max_attempts(const Request& request) const {
    return state_.settings_of(request).max_attempts.value_or(state_.settings.max_attempts);
  }

  const RoutingState& state_;
  RetryBudgetCounter budget_counter_;
};

}  // namespace rookproxy::routing
