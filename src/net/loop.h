// The event loop: edge-triggered epoll, all deadlines in one ordered structure, work put off to a turn's end.
#pragma once

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "net/fd.h"
#include "net/slots.h"

namespace rookproxy {

class EventHandler {
 public:
  virtual void on_ready(std::uint32_t events) = 0;

 protected:
  ~EventHandler() = default;
};

// A deadline's place in the ordered structure; a default one is not set.
using TimerId = std::pair<Time, std::uint64_t>;

class EventLoop {
 public:
  using Task = std::function<void()>;

  EventLoop();
  // Watches for reading, writing and hang-ups, edge-triggered. 0 if the kernel would not take it.
  SlotKey watch(int fd, EventHandler& watcher);
  void unwatch(SlotKey key, int fd);
  // The watcher used up its fair share of this turn: it is called again in the next one.
  void requeue(SlotKey key, std::uint32_t events);

  TimerId run_at(Time when, Task task);
  void cancel(TimerId& key);
  // Runs once this turn's events are through. Objects that are in the middle of a call are destroyed here.
  void defer(Task task) { deferred_.push_back(std::move(task)); }
  // Called at the end of every turn, after the deferred work.
  void on_iteration_end(Task task) { on_iteration_end_ = std::move(task); }
  // Called with what a turn took, from its wait's end to the next wait, if that was `from` or more: what was
  // due meanwhile is late by as much, whoever is at fault (our own work, or a core that was busy elsewhere).
  void on_stalled_iteration(Duration from, std::function<void(Duration)> told) {
    stall_threshold_ = from;
    on_stalled_iteration_ = std::move(told);
  }

  Time now() const { return now_; }
  // Nothing was ready in this turn.
  bool is_idle() const { return idle_; }
  void run();
  void stop() { stopped_ = true; }
  // One turn that waits for nothing, for who turns the loop by hand; false if there was nothing to do.
  bool poll() { return run_iteration(false); }
  // When the first timer is due; Time::max() if there is none.
  Time next_timer_due() const { return timers_.empty() ? Time::max() : timers_.begin()->first.first; }

 private:
  bool run_iteration(bool may_wait);
  bool run_due_timers();
  void run_deferred();

  FileDescriptor epoll_;
  SlotMap<EventHandler*> handlers_;
  std::vector<std::pair<SlotKey, std::uint32_t>> requeued_;
  std::map<TimerId, Task> timers_;
  std::uint64_t next_timer_sequence_ = 1;
  std::vector<Task> deferred_;
  Task on_iteration_end_;
  Duration stall_threshold_ = Duration::max();
  std::function<void(Duration)> on_stalled_iteration_;
  Time now_;
  bool stopped_ = false, idle_ = false;
};

}  // namespace rookproxy
