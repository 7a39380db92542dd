// The learned state of each request class.
#pragma once

#include <algorithm>
#include <functional>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/exponential_average.h"

namespace rookproxy::routing {

// Statistics learned from the responses of one class.
struct ClassState {
  // Mean work of a request, in microseconds of one thread.
  ExponentialAverage mean_work;
  // Ratio of actual to estimated work.
  double estimate_bias = 1;
  // Ratio of latency to run time.
  ExponentialAverage latency_ratio{1.5};
  // Ratio of granted to estimated memory.
  double grant_factor = 1;
  // Median ratio of actual to expected progress.
  double progress_rate = 1;
  // Number of responses whose work is known only from their latency.
  double latency_samples = 0;
  // Mean work of those responses, in microseconds of one thread.
  ExponentialAverage work_by_latency;
  // Longest time from arrival to deadline among the class's requests.
  Time longest_timeout = 0;

  // Returns the mean work, or a larger value while the mean may still be inaccurate.
  [[nodiscard]] double conservative_work() const {
    return std::max(mean_work.value(), work_by_latency.value());
  }
};

// Returns the class states after a change of settings: a class with unchanged settings keeps its state, one
// with changed settings takes over the state of the previous class with the same name, and a new one gets
// `initial_state`. `previous_states` holds the states of the classes in `before`.
[[nodiscard]] std::vector<ClassState> carry_over(
    const std::vector<ClassSettings>& before, const std::vector<ClassState>& previous_states,
    const std::vector<ClassSettings>& after,
    const std::function<ClassState(const ClassSettings&)>& initial_state);

}  // namespace rookproxy::routing
