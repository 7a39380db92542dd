// Counts of threads in use, by priority.
#pragma once

#include <array>
#include <cmath>
#include <cstddef>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Priorities range from 0 (lowest) to this (highest).
constexpr int kHighestPriority = 3;

// Holds a thread count for each priority.
class ThreadsByPriority {
 public:
  void add(int priority, double threads) { threads_[static_cast<std::size_t>(priority)] += threads; }
  // Moves every count toward that of `other` by the fraction `weight` (0 to 1) of the difference.
  void approach(const ThreadsByPriority& other, double weight) {
    for (std::size_t i = 0; i < threads_.size(); ++i) {
      threads_[i] += weight * (other.threads_[i] - threads_[i]);
    }
  }
  // Returns the number of threads at this priority and all higher ones.
  [[nodiscard]] double at_or_above(int priority) const {
    double sum = 0;
    // A constant number of steps, since this is called for each queued request.
    for (int i = 0; i <= kHighestPriority; ++i) {
      if (i >= priority) sum += threads_[static_cast<std::size_t>(i)];
    }
    return sum;
  }

 private:
  std::array<double, kHighestPriority + 1> threads_{};
};

// The threads in use now and their moving average.
struct ThreadUsage {
  ThreadsByPriority present;
  ThreadsByPriority mean;
  Time mean_updated_at = 0;

  // Updates the mean to `now`. `time_constant` is in microseconds.
  void update_mean(Time now, double time_constant) {
    const auto elapsed = static_cast<double>(now - mean_updated_at);
    mean.approach(present, -std::expm1(-elapsed / time_constant));
    mean_updated_at = now;
  }
};

}  // namespace rookproxy::routing
