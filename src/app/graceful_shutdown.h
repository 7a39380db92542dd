// Graceful shutdown of a process: serves the open requests, closes the clients, then stops the event loop.
#pragma once

#include "app/frontends.h"
#include "app/process_lock_file.h"
#include "dispatcher/dispatcher.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "policy/shutdown.h"

namespace rookproxy {

// Carries out the steps that policy/shutdown.h decides. Everything passed to it must outlive it. Used on the
// event loop's thread.
class GracefulShutdown {
 public:
  // The state of the process when it is told to stop.
  struct InitialState {
    // The longest of all classes.
    Duration max_request_timeout{};
    // Whether clients were accepted before.
    bool was_ready = false;
    // Whether the listener was passed to this process, so that it outlives it.
    bool listener_is_shared = false;
  };

  // `process_lock_file` is null if there can be no successor.
  GracefulShutdown(EventLoop& loop, Logger& log, Dispatcher& dispatcher, Frontends& frontends,
                   const ProcessLockFile* process_lock_file)
      : loop_(loop),
        log_(log),
        dispatcher_(dispatcher),
        frontends_(frontends),
        process_lock_file_(process_lock_file) {}

  // Takes the first step; the others follow by timer, and the last one stops the event loop. Must be called
  // only once.
  void start(const InitialState& initial_state);

 private:
  void advance();
  policy::ShutdownState current_state();
  void apply(const policy::ShutdownAction& action, const policy::ShutdownState& state);

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  Frontends& frontends_;
  const ProcessLockFile* process_lock_file_;
  InitialState initial_state_;
  policy::ShutdownTimes times_;
  Time started_at_{};
  Time last_open_request_at_{};       // When a request was last open.
  bool input_check_pending_ = false;  // The next step follows a loop iteration that does not wait for events.
  bool closing_clients_ = false;
};

}  // namespace rookproxy
