#include "policy/cpu_budget.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace rookproxy::policy {

void CpuBudget::refill(Time now) {
  const auto full_us = static_cast<double>(burst_.count());
  if (!is_initialized_) {
    is_initialized_ = true;
    balance_us_ = full_us;
  } else if (now > refilled_at_) {
    const auto elapsed_us = static_cast<double>((now - refilled_at_).count());
    balance_us_ = std::min(balance_us_ + share_ * elapsed_us, full_us);
  }
  refilled_at_ = std::max(refilled_at_, now);
}

void CpuBudget::charge(Duration cost) { balance_us_ -= static_cast<double>(cost.count()); }

Time CpuBudget::next_balance_time(Time now) const {
  if (has_balance()) return now;
  return refilled_at_ + Duration(static_cast<std::int64_t>(std::ceil((1 - balance_us_) / share_)));
}

}  // namespace rookproxy::policy
