// A median that follows a stream of samples without storing them.
#pragma once

namespace rookproxy::routing {

// Returns `median` moved one step toward `sample`: up by the share `step` if the sample lies above it,
// otherwise down by the same share. Repeated for every sample it settles where half of them lie on either
// side.
[[nodiscard]] constexpr double step_median(double median, double sample, double step) {
  return median * (sample > median ? 1 + step : 1 - step);
}

}  // namespace rookproxy::routing
