// A closed range of numbers.
#pragma once

#include <algorithm>

namespace rookproxy::routing {

// The bounds of a number.
struct Range {
  double lower = 0;
  double upper = 0;
  // Returns the number in the range that is closest to `value`.
  [[nodiscard]] constexpr double clamp(double value) const { return std::clamp(value, lower, upper); }
};

}  // namespace rookproxy::routing
