// A closed range of numbers.
#pragma once

#include <algorithm>

namespace rookproxy::routing {

// The least and the most that a number may be.
struct Range {
  double least = 0;
  double most = 0;
  // The number in the range that is nearest to `value`.
  [[nodiscard]] constexpr double clamp(double value) const { return std::clamp(value, least, most); }
};

}  // namespace rookproxy::routing
