// Formats the values of log fields.
#pragma once

#include <chrono>
#include <string>

#include "base/time.h"

namespace rookproxy {

// A duration in whole milliseconds.
[[nodiscard]] inline std::string milliseconds_field(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace rookproxy
