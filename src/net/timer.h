// A timer that its owner's destruction cancels.
#pragma once

#include <utility>

#include "net/event_loop.h"

namespace rookproxy {

// Runs one task on the loop's thread unless it is cancelled, replaced or destroyed first. The loop must
// outlive it.
class Timer {
 public:
  explicit Timer(EventLoop& loop) : loop_(loop) {}
  ~Timer() { cancel(); }
  Timer(Timer&& other) noexcept : loop_(other.loop_), id_(std::exchange(other.id_, {})) {}
  Timer& operator=(Timer&&) = delete;

  // Replaces the task that was set before, if it has not run.
  void set(Time due, EventLoop::Task task) {
    cancel();
    id_ = loop_.run_at(due, std::move(task));
  }
  void cancel() { loop_.cancel(id_); }
  // To be called first in the task if is_set() is to be false from then on: it does not know that it ran.
  void mark_as_run() { id_ = {}; }
  [[nodiscard]] bool is_set() const { return id_.is_set(); }

 private:
  EventLoop& loop_;
  TimerId id_;
};

}  // namespace rookproxy
