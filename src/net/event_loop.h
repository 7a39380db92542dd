// The event loop: edge-triggered epoll, timers in one ordered map, and tasks deferred to the iteration's end.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

namespace rookproxy {

// Receives the events of one descriptor that it registered with an EventLoop.
class EventHandler {
 public:
  // `events` are epoll's flags.
  virtual void on_ready(std::uint32_t events) = 0;

 protected:
  ~EventHandler() = default;
};

// Identifies a timer of an EventLoop; a default one is not set. Timers run in this order.
struct TimerId {
  Time due{};
  std::uint64_t sequence = 0;

  auto operator<=>(const TimerId&) const = default;
  [[nodiscard]] bool is_set() const { return sequence != 0; }
};

// Runs handlers, timers and deferred tasks, one after another. All of it belongs to the thread that calls
// run(); nothing here is thread safe. It must outlive whatever is registered with it.
class EventLoop {
 public:
  using Task = std::function<void()>;

  // Throws std::system_error if the kernel gives no epoll instance.
  EventLoop();

  // Watches for reading, writing and hang-ups, edge-triggered. Returns 0 if the kernel refuses.
  SlotKey watch(int descriptor, EventHandler& handler);
  // Ends that; an unknown key is ignored.
  void unwatch(SlotKey key, int descriptor);
  // Calls the handler with these events again in the next iteration: for one that has used up its share of
  // this one.
  void requeue(SlotKey key, std::uint32_t events);

  // Runs the task once, in the first iteration at or after `due`.
  TimerId run_at(Time due, Task task);
  // Cancels a timer that has not run, and resets `id`.
  void cancel(TimerId& id);
  // Runs the task after this iteration's events and timers. Objects that are in the middle of a call are
  // destroyed in such a task.
  void defer(Task task) { deferred_.push_back(std::move(task)); }
  // Sets what runs at the end of every iteration, after the deferred tasks.
  void on_iteration_end(Task task) { on_iteration_end_ = std::move(task); }
  // Sets what is called with the length of an iteration, from the end of its wait to the next wait, if that
  // is `threshold` or more. Timers due meanwhile are late by as much, whether by our own work or by a core
  // that was busy elsewhere.
  void on_stalled_iteration(Duration threshold, std::function<void(Duration)> callback) {
    stall_threshold_ = threshold;
    on_stalled_iteration_ = std::move(callback);
  }

  // The time at which this iteration's wait ended.
  [[nodiscard]] Time now() const { return now_; }
  // True if this iteration's wait found no event.
  [[nodiscard]] bool is_idle() const { return idle_; }
  // Runs iterations until stop() is called; may be called again afterwards.
  void run();
  void stop() { stopped_ = true; }
  // Runs one iteration that does not wait; false if there was nothing to do.
  bool poll() { return run_iteration(false); }
  // When the first timer is due; Time::max() if there is none.
  [[nodiscard]] Time next_timer_due() const {
    return timers_.empty() ? Time::max() : timers_.begin()->first.due;
  }

 private:
  // The events of one watched descriptor, as epoll flags.
  struct ReadyEvent {
    SlotKey key;
    std::uint32_t events;
  };

  bool run_iteration(bool may_wait);
  int wait_milliseconds(bool may_wait);
  std::vector<ReadyEvent> wait_for_events(int timeout_milliseconds);
  bool run_due_timers();
  void run_deferred();

  FileDescriptor epoll_;
  SlotMap<EventHandler*> handlers_;
  std::vector<ReadyEvent> requeued_;
  std::map<TimerId, Task> timers_;
  std::uint64_t next_timer_sequence_ = 1;
  std::vector<Task> deferred_;
  Task on_iteration_end_;
  Duration stall_threshold_ = Duration::max();
  std::function<void(Duration)> on_stalled_iteration_;
  Time now_;
  bool stopped_ = false;
  bool idle_ = false;
};

}  // namespace rookproxy
