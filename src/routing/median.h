// The median of a list of numbers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace rookproxy::routing {

// Returns the upper median of `values`, which must not be empty.
[[nodiscard]] inline double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace rookproxy::routing
