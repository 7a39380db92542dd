// The project's clock: Unix time that only moves forward.
#pragma once

#include "base/time.h"

namespace rookproxy {

// Set by who turns the time by hand, as tests do; null: time passes by itself.
inline const Time* manual_clock = nullptr;

// The steady clock, shifted once at the start to read as Unix time: a step of the system's clock must not
// fire every deadline at once or hold them all back, and the module's clock may never go backward.
inline Time monotonic_now() {
  if (manual_clock) return *manual_clock;
  using std::chrono::duration_cast;
  static const auto shift = duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
                            duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  return Time(duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) + shift);
}

}  // namespace rookproxy
