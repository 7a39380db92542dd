// A token bucket of CPU time that refills at a constant share of one core and may go into debt.
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

// Starts full. Not thread-safe; the caller provides the time.
class CpuBudget {
 public:
  // `share`: the share of one core, at least 0. `burst`: the highest balance.
  CpuBudget(double share, Duration burst) : share_(share), burst_(burst) {}

  // Adds the CPU time accrued since the last call; an earlier time than that adds nothing.
  void refill(Time now);
  // Subtracts the cost of completed work; the balance may become negative.
  void charge(Duration cost);
  [[nodiscard]] bool has_balance() const { return balance_us_ > 0; }
  // The time at which the balance becomes positive, `now` if it is; requires a share above 0.
  [[nodiscard]] Time next_balance_time(Time now) const;
  [[nodiscard]] double share() const { return share_; }

 private:
  double share_;
  Duration burst_;
  double balance_us_ = 0;  // CPU time in microseconds; negative while in debt.
  Time refilled_at_{};
  bool is_initialized_ = false;
};

}  // namespace rookproxy::policy
