// A timer that is armed while there is something to look after.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Remembers whether the tick is armed, and for when. Times in microseconds.
class TickTimer {
 public:
  [[nodiscard]] bool is_armed() const { return armed_; }
  // Arms the tick for the time `due_at`, and returns that time.
  Time arm(Time due_at) {
    armed_ = true;
    due_at_ = due_at;
    return due_at;
  }
  void disarm() { armed_ = false; }
  // How late the armed tick is at the time `now`; 0 if none is armed.
  [[nodiscard]] Time lateness(Time now) const { return armed_ ? now - due_at_ : 0; }

 private:
  bool armed_ = false;
  Time due_at_ = 0;
};

}  // namespace rookproxy::routing
