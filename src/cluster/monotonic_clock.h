// A clock that is driven by the time stamps of events and never runs backwards.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace rookproxy::cluster {

// Time since the start of the process, in microseconds.
using Elapsed = Duration;

// A due time that never comes. Far enough from the largest value that spans can be added to it.
inline constexpr Elapsed kNever = Duration::max() / 4;

// Turns wall-clock times into time since the start. A step back of the wall clock counts as no time passed.
class MonotonicClock {
 public:
  explicit MonotonicClock(Time now) : last_event_time_(now) {}

  // Moves to the time of an event. Returns false if the wall clock has gone back since the last one.
  [[nodiscard]] bool advance(Time now) {
    const bool is_forward = now >= last_event_time_;
    elapsed_ = elapsed_at(now);
    last_event_time_ = now;
    return is_forward;
  }

  // As of the last event.
  [[nodiscard]] Elapsed elapsed() const { return elapsed_; }
  // What elapsed() would be if an event came at `now`.
  [[nodiscard]] Elapsed elapsed_at(Time now) const {
    return elapsed_ + std::max(Duration(0), now - last_event_time_);
  }
  // The wall-clock time of the last event.
  [[nodiscard]] Time last_event_time() const { return last_event_time_; }
  // The wall-clock time of `then`, or of the last event if `then` has passed.
  [[nodiscard]] Time wall_time(Elapsed then) const {
    return last_event_time_ + std::max(Duration(0), then - elapsed_);
  }

 private:
  Time last_event_time_;
  Elapsed elapsed_{};
};

}  // namespace rookproxy::cluster
