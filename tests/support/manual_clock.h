/// Time that a test moves by hand.
#pragma once

#include "base/time.h"
#include "net/clock.h"

namespace rookproxy::test {

/// Replaces the program's clock for its scope; there is one at a time. It stands still until `now` is
/// changed.
struct ManualClock {
  Time now = monotonic_now();

  ManualClock() { manual_clock = &now; }
  ~ManualClock() { manual_clock = nullptr; }
  ManualClock(const ManualClock&) = delete;
  ManualClock& operator=(const ManualClock&) = delete;
};

}  // namespace rookproxy::test
