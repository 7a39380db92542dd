// Types for points in time and durations. Nothing here reads a clock.
#pragma once

#include <chrono>

namespace rookproxy {

using Duration = std::chrono::microseconds;

// Unix time.
using Time = std::chrono::time_point<std::chrono::system_clock, Duration>;

}  // namespace rookproxy
