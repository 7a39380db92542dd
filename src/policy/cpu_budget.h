// A budget of processor time that refills at a constant share of one core (a token bucket that may go into
// debt).
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

// Starts full. Not thread-safe; the clock is the caller's.
class CpuBudget {
 public:
  // `share`: of one core, at least 0. `burst`: the most that is saved up.
  CpuBudget(double share, Duration burst) : share_(share), burst_(burst) {}

  // Adds what has accrued since the last call; a time before that one adds nothing.
  void refill(Time now);
  // Takes what a piece of work cost, into debt if need be.
  void charge(Duration cost);
  [[nodiscard]] bool has_balance() const { return balance_us_ > 0; }
  // When there will be a balance again, at least `now`'s refill; requires a share above 0.
  [[nodiscard]] Time next_balance_time(Time now) const;
  [[nodiscard]] double share() const { return share_; }

 private:
  double share_;
  Duration burst_;
  double balance_us_ = 0;  // microseconds of processor time; below 0: in debt
  Time refilled_at_{};
  bool is_initialized_ = false;
};

}  // namespace rookproxy::policy
