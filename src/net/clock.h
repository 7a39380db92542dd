// A monotonic clock that reads as Unix time.
#pragma once

#include "base/time.h"

namespace rookproxy {

// If not null, replaces the clock, so that tests can set the time.
inline const Time* manual_clock = nullptr;

// Returns the time of the steady clock, shifted to Unix time at the first call. Steps of the system clock
// must not affect deadlines, and the routing module requires a clock that never goes backwards.
[[nodiscard]] inline Time monotonic_now() {
  if (manual_clock) return *manual_clock;
  using std::chrono::duration_cast;
  static const auto shift = duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
                            duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  return Time(duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) + shift);
}

}  // namespace rookproxy
