// A monotonic clock that is advanced by the timestamps of events.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace rookproxy::cluster {

// Time since the start of the process, in microseconds.
using Elapsed = Duration;

// A time that is never reached. Small enough that durations can be added to it without overflow.
inline constexpr Elapsed kNever = Duration::max() / 4;

// Converts wall-clock times into time since the start. If the wall clock steps back, no time passes.
class MonotonicClock {
 public:
  explicit MonotonicClock(Time now) : last_event_time_(now) {}

  // Advances to the time of an event. Returns false if the wall clock has gone back since the last event.
  [[nodiscard]] bool advance(Time now) {
    const bool is_forward = now >= last_event_time_;
    elapsed_ = elapsed_at(now);
    last_event_time_ = now;
    return is_forward;
  }

  // The time since the start at the last event.
  [[nodiscard]] Elapsed elapsed() const { return elapsed_; }
  // The value that elapsed() would have after an event at `now`.
  [[nodiscard]] Elapsed elapsed_at(Time now) const {
    return elapsed_ + std::max(Duration(0), now - last_event_time_);
  }
  // The wall-clock time of the last event.
  [[nodiscard]] Time last_event_time() const { return last_event_time_; }
  // The wall-clock time of `then`, or of the last event if `then` is in the past.
  [[nodiscard]] Time wall_time(Elapsed then) const {
    return last_event_time_ + std::max(Duration(0), then - elapsed_);
  }

 private:
  Time last_event_time_;
  Elapsed elapsed_{};
};

}  // namespace rookproxy::cluster
