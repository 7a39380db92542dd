// The program's clock: Unix time that never goes backwards.
#pragma once

#include "base/time.h"

namespace rookproxy {

// Replaces the clock while it is not null, so that a test can set the time.
inline const Time* manual_clock = nullptr;

// The steady clock, shifted once at the start to read as Unix time: a step of the system's clock must neither
// fire every deadline at once nor hold them back, and the routing module's clock may never go backwards.
[[nodiscard]] inline Time monotonic_now() {
  if (manual_clock) return *manual_clock;
  using std::chrono::duration_cast;
  static const auto shift = duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
                            duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  return Time(duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) + shift);
}

}  // namespace rookproxy
