// A clock that is advanced by the test.
#pragma once

#include "base/time.h"
#include "net/clock.h"

namespace rookproxy::test {

// Replaces the monotonic clock for the scope of the object. Only one may exist at a time. Time advances only
// when `now` is assigned.
struct ManualClock {
  Time now = monotonic_now();

  ManualClock() { manual_clock = &now; }
  ~ManualClock() { manual_clock = nullptr; }
  ManualClock(const ManualClock&) = delete;
  ManualClock& operator=(const ManualClock&) = delete;
};

}  // namespace rookproxy::test
