// The counts that a retry budget is checked against.
#pragma once

#include <cmath>

#include "rookproxy/routing/router.h"
#include "routing/event_window.h"

namespace rookproxy::routing {

// Counts requests and retries within the budget's window.
class RetryBudgetCounter {
 public:
  // Counts a request and drops entries older than the window.
  void record_request(const RetryBudget& budget, Time now) {
    requests_.add(now);
    requests_.drop_before(now - budget.window);
    retries_.drop_before(now - budget.window);
  }
  void record_retry(Time now) { retries_.add(now); }
  // Returns whether one more retry is within the budget.
  [[nodiscard]] bool allows_retry(const RetryBudget& budget, Time now) const {
    const Time window_start = now - budget.window;
    return retries_.count_since(window_start) + 1 <=
           std::floor(budget.min_retries + budget.retry_ratio * requests_.count_since(window_start + 1));
  }

 private:
  EventWindow requests_;
  EventWindow retries_;
};

}  // namespace rookproxy::routing
