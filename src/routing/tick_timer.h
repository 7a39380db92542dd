// The state of the router's periodic timer.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Stores whether the timer is armed and when it is due. Times are in microseconds.
class TickTimer {
 public:
  [[nodiscard]] bool is_armed() const { return armed_; }
  // Arms the timer for `due_at` and returns `due_at`.
  Time arm(Time due_at) {
    armed_ = true;
    due_at_ = due_at;
    return due_at;
  }
  void disarm() { armed_ = false; }
  // Returns how long the armed timer is overdue at `now`, or 0 if it is not armed.
  [[nodiscard]] Time lateness(Time now) const { return armed_ ? now - due_at_ : 0; }

 private:
  bool armed_ = false;
  Time due_at_ = 0;
};

}  // namespace rookproxy::routing
