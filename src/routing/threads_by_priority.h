// Threads in use, counted per priority.
#pragma once

#include <array>
#include <cmath>
#include <cstddef>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// The highest priority of a request; the lowest is 0.
constexpr int kHighestPriority = 3;

// Holds one number of threads for each priority from 0 (lowest) to 3 (highest).
class ThreadsByPriority {
 public:
  void add(int priority, double threads) { threads_[static_cast<std::size_t>(priority)] += threads; }
  // Moves every count toward that of `other` by the share `weight` (0 to 1) of the difference.
  void approach(const ThreadsByPriority& other, double weight) {
    for (std::size_t i = 0; i < threads_.size(); ++i) {
      threads_[i] += weight * (other.threads_[i] - threads_[i]);
    }
  }
  // The threads of this priority and all higher ones.
  [[nodiscard]] double at_or_above(int priority) const {
    double sum = 0;
    for (int i = 0; i <= kHighestPriority;
         ++i) {  // a constant length, since this is asked for each queued request
      if (i >= priority) sum += threads_[static_cast<std::size_t>(i)];
    }
    return sum;
  }

 private:
  std::array<double, kHighestPriority + 1> threads_{};
};

// Threads in use, now and on average over some time.
struct ThreadUsage {
  ThreadsByPriority present;
  ThreadsByPriority mean;
  Time mean_updated_at = 0;

  // Brings the mean up to the time `now`; `time_constant` in microseconds.
  void update_mean(Time now, double time_constant) {
    const auto elapsed = static_cast<double>(now - mean_updated_at);
    mean.approach(present, -std::expm1(-elapsed / time_constant));
    mean_updated_at = now;
  }
};

}  // namespace rookproxy::routing
