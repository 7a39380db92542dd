// An event loop with edge-triggered epoll, timers, and tasks that are deferred to the end of the iteration.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "policy/input_schedule.h"

namespace rookproxy {

// Receives the events of a descriptor that is registered with an EventLoop.
class EventHandler {
 public:
  // `events` are epoll's flags.
  virtual void on_ready(std::uint32_t events) = 0;
  // Reads and handles input until there is none or EventLoop::is_turn_over() returns true; then the handler
  // requeues itself. Called only after EventLoop::schedule_input().
  virtual void on_input_turn() {}

 protected:
  ~EventHandler() = default;
};

// Identifies a timer of an EventLoop. Timers run in the order of their ids. A default-constructed id is not
// set.
struct TimerId {
  Time due{};
  std::uint64_t sequence = 0;

  auto operator<=>(const TimerId&) const = default;
  [[nodiscard]] bool is_set() const { return sequence != 0; }
};

// Runs event handlers, timers and deferred tasks sequentially on the thread that calls run(). Not thread
// safe. Must outlive everything that is registered with it.
class EventLoop {
 public:
  using Task = std::function<void()>;

  // Limits reading to the time of an input turn, until destruction. Has no effect within a turn.
  class TurnLimit {
   public:
    explicit TurnLimit(EventLoop& loop);
    ~TurnLimit();
    TurnLimit(const TurnLimit&) = delete;
    TurnLimit& operator=(const TurnLimit&) = delete;

   private:
    EventLoop& loop_;
    Time previous_end_;
  };

  // Throws std::system_error if the epoll instance can't be created.
  EventLoop();

  // Registers a descriptor for read, write and hang-up events, edge-triggered. Returns 0 on failure, with
  // errno set.
  SlotKey watch(int descriptor, EventHandler& handler);
  // Removes the registration. An unknown key is ignored.
  void unwatch(SlotKey key, int descriptor);
  // Calls the handler again with these events in the next iteration. Used by handlers that reached their
  // limit for this iteration.
  void requeue(SlotKey key, std::uint32_t events);
  // Calls the handler's on_input_turn() when the turn of its descriptor comes (see policy::InputSchedule).
  void schedule_input(SlotKey key) { input_schedule_.on_input(key); }
  // Returns true once the current turn has taken as long as it may. False outside of turns.
  [[nodiscard]] bool is_turn_over() const;

  // Runs the task once, in the first iteration whose time is at or after `due`.
  TimerId run_at(Time due, Task task);
  // Cancels the timer if it has not run, and resets `id`.
  void cancel(TimerId& id);
  // Runs the task after this iteration's events and timers. Used, for example, to destroy objects that are in
  // the middle of a call.
  void defer(Task task) { deferred_.push_back(std::move(task)); }
  // Sets a task that runs at the end of every iteration, after the deferred tasks.
  void on_iteration_end(Task task) { on_iteration_end_ = std::move(task); }
  // Sets a task that runs after each input turn that took all of its time, as part of the turn.
  void on_full_turn(Task task) { on_full_turn_ = std::move(task); }
  // Sets a callback for iterations whose duration, from the end of one wait to the next wait, is `threshold`
  // or more. It receives the duration, by which timers may be late because of this process's work or a busy
  // CPU.
  void on_stalled_iteration(Duration threshold, std::function<void(Duration)> callback) {
    stall_threshold_ = threshold;
    on_stalled_iteration_ = std::move(callback);
  }

  // Returns the number of input turns that took as long as they may, or longer.
  [[nodiscard]] std::uint64_t full_turns() const { return full_turns_; }
  // Returns the time at which this iteration's wait ended.
  [[nodiscard]] Time now() const { return now_; }
  // Returns true if this iteration's wait found no event and no input waits for its turn.
  [[nodiscard]] bool is_idle() const { return idle_; }
  // Runs iterations until stop() is called. May be called again afterwards.
  void run();
  void stop() { stopped_ = true; }
  // Runs one iteration without waiting. Returns false if there was nothing to do.
  bool poll() { return run_iteration(false); }
  // Returns when the first timer is due; Time::max() if there is none.
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
  void report_stall(Time now);
  void run_input_turns();
  std::vector<ReadyEvent> wait_for_events(int timeout_milliseconds);
  bool run_due_timers();
  void run_deferred();

  FileDescriptor epoll_;
  SlotMap<EventHandler*> handlers_;
  std::vector<ReadyEvent> requeued_;
  policy::InputSchedule input_schedule_;
  // Time::max() outside of turns.
  Time turn_ends_at_ = Time::max();
  std::uint64_t full_turns_ = 0;
  std::map<TimerId, Task> timers_;
  std::uint64_t next_timer_sequence_ = 1;
  std::vector<Task> deferred_;
  Task on_iteration_end_;
  Task on_full_turn_;
  Duration stall_threshold_ = Duration::max();
  std::function<void(Duration)> on_stalled_iteration_;
  Time now_;
  bool stopped_ = false;
  bool idle_ = false;
};

}  // namespace rookproxy
