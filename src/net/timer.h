// A timer that is cancelled when its owner is destroyed.
#pragma once

#include <utility>

#include "net/event_loop.h"

namespace rookproxy {

// Runs a task on the event loop's thread unless it is cancelled, replaced or destroyed before. The loop must
// outlive the timer.
class Timer {
 public:
  explicit Timer(EventLoop& loop) : loop_(loop) {}
  ~Timer() { cancel(); }
  Timer(Timer&& other) noexcept : loop_(other.loop_), id_(std::exchange(other.id_, {})) {}
  Timer& operator=(Timer&&) = delete;

  // Sets the task and its time, replacing a task that has not run.
  void set(Time due, EventLoop::Task task) {
    cancel();
    id_ = loop_.run_at(due, std::move(task));
  }
  void cancel() { loop_.cancel(id_); }
  // Makes is_set() return false. The timer does not detect that its task ran, so the task must call this
  // first if is_set() is used.
  void mark_as_run() { id_ = {}; }
  [[nodiscard]] bool is_set() const { return id_.is_set(); }

 private:
  EventLoop& loop_;
  TimerId id_;
};

}  // namespace rookproxy
