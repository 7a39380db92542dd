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

class Watcher {
 public:
  virtual void on_ready(std::uint32_t events) = 0;

 protected:
  ~Watcher() = default;
};

// A deadline's place in the ordered structure; a default one is not set.
using TimerKey = std::pair<Time, std::uint64_t>;

class Loop {
 public:
  using Task = std::function<void()>;

  Loop();
  // Watches for reading, writing and hang-ups, edge-triggered. 0 if the kernel would not take it.
  SlotKey watch(int fd, Watcher& watcher);
  void unwatch(SlotKey key, int fd);
  // The watcher used up its fair share of this turn: it is called again in the next one.
  void again(SlotKey key, std::uint32_t events);

  TimerKey at(Time when, Task task);
  void cancel(TimerKey& key);
  // Runs once this turn's events are through. Objects that are in the middle of a call are destroyed here.
  void defer(Task task) { deferred_.push_back(std::move(task)); }
  // Called at the end of every turn, after the deferred work.
  void each_turn(Task task) { each_turn_ = std::move(task); }
  // Called with what a turn took, from its wait's end to the next wait, if that was `from` or more: what was
  // due meanwhile is late by as much, whoever is at fault (our own work, or a core that was busy elsewhere).
  void on_long_turn(Duration from, std::function<void(Duration)> told) {
    long_turn_ = from;
    told_ = std::move(told);
  }

  Time now() const { return now_; }
  // Nothing was ready in this turn.
  bool is_quiet() const { return quiet_; }
  void run();
  void stop() { stopped_ = true; }
  // One turn that waits for nothing, for who turns the loop by hand; false if there was nothing to do.
  bool poll() { return turn(false); }
  // When the first timer is due; Time::max() if there is none.
  Time next_timer() const { return timers_.empty() ? Time::max() : timers_.begin()->first.first; }

 private:
  bool turn(bool may_wait);
  bool run_timers();
  void run_deferred();

  Fd epoll_;
  SlotTable<Watcher*> watchers_;
  std::vector<std::pair<SlotKey, std::uint32_t>> again_;
  std::map<TimerKey, Task> timers_;
  std::uint64_t next_timer_ = 1;
  std::vector<Task> deferred_;
  Task each_turn_;
  Duration long_turn_ = Duration::max();
  std::function<void(Duration)> told_;
  Time now_;
  bool stopped_ = false, quiet_ = false;
};

}  // namespace rookproxy
