// What the router has learnt of each class of requests.
#pragma once

#include <algorithm>
#include <functional>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/exponential_average.h"

namespace rookproxy::routing {

// Learnt from the responses of one class.
struct ClassState {
  ExponentialAverage mean_work;           // of one request, microseconds of one thread
  double estimate_bias = 1;               // true work over the estimate
  ExponentialAverage latency_ratio{1.5};  // latency over work per thread
  double grant_factor = 1;                // memory granted over the estimate
  double progress_rate = 1;               // median of progress over expected progress
  double latency_samples = 0;             // responses that tell of work by their latency alone ...
  ExponentialAverage work_by_latency;     // ... and the mean of the work that they tell
  Time longest_timeout = 0;               // of its requests, as they arrived

  // The mean work, or more while that mean may still be a guess.
  [[nodiscard]] double conservative_work() const {
    return std::max(mean_work.value(), work_by_latency.value());
  }
};

// The states for other settings: a class whose settings are the same keeps its state, one whose settings
// differ takes over that of the old class of its name, and a new one begins with `initial_state`. `known`
// belongs to `before`.
[[nodiscard]] std::vector<ClassState> carry_over(
    const std::vector<ClassSettings>& before, const std::vector<ClassState>& known,
    const std::vector<ClassSettings>& after,
    const std::function<ClassState(const ClassSettings&)>& initial_state);

}  // namespace rookproxy::routing
