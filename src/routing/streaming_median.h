// An approximate median of a stream of samples that are not stored.
#pragma once

namespace rookproxy::routing {

// Returns `median` moved one step toward `sample`: increased by the fraction `step` if the sample is larger,
// otherwise decreased by it. Applied to every sample, it converges to the value that half of them exceed.
[[nodiscard]] constexpr double step_median(double median, double sample, double step) {
  return median * (sample > median ? 1 + step : 1 - step);
}

}  // namespace rookproxy::routing
