// The end of a process that was told to stop: what is open is served, clients are closed, then the event loop
// stops.
#pragma once

#include "app/frontends.h"
#include "app/process_lease.h"
#include "dispatcher/dispatcher.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "policy/shutdown.h"

namespace rookproxy {

// Carries out the steps that policy/shutdown.h decides, from `start` on. Its parts have to outlive it. Used
// on the event loop's thread.
class GracefulShutdown {
 public:
  // What is known when the process is told to stop.
  struct Circumstances {
    Duration max_request_timeout{};   // of all classes
    bool was_ready = false;           // clients were accepted before
    bool listener_is_shared = false;  // the listener was passed to this process and outlives it
  };

  // `lease` is null where there can be no successor.
  GracefulShutdown(EventLoop& loop, Logger& log, Dispatcher& dispatcher, Frontends& frontends,
                   const ProcessLease* lease)
      : loop_(loop), log_(log), dispatcher_(dispatcher), frontends_(frontends), lease_(lease) {}

  // Takes the first step; the others follow by timer, and the last one stops the event loop. Called once.
  void start(const Circumstances& circumstances);

 private:
  void advance();
  policy::ShutdownState observe();
  void carry_out(const policy::ShutdownAction& action, const policy::ShutdownState& state);

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  Frontends& frontends_;
  const ProcessLease* lease_;
  Circumstances circumstances_;
  policy::ShutdownTimes times_;
  Time started_at_{};
  Time last_request_open_{};         // when a request was last seen open
  bool observes_iteration_ = false;  // the iteration that follows waits for nothing, to see what there is
  bool closing_clients_ = false;
};

}  // namespace rookproxy
