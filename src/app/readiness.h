// When a process that has started, or was told to stop, serves clients.
#pragma once

#include <functional>
#include <string>

#include "net/event_loop.h"

namespace rookproxy {

// Waits, for a short while, until the engines are known before it lets clients in: those that connect
// meanwhile wait at the socket and lose nothing. Used on the event loop's thread.
class Readiness {
 public:
  // `engines_known` is asked until it says yes or the wait is over; then `on_ready` is called, once.
  Readiness(EventLoop& loop, std::function<bool()> engines_known, std::function<void()> on_ready);

  // Begins to wait, from the next iteration of the loop on: a signal to stop that is pending by then comes
  // first.
  void start();

  // Not ready any more. A process that was told to stop before it was ready never becomes so: clients would
  // come to one that is about to leave.
  void stop() { stopped_ = true; }

  [[nodiscard]] bool is_stopped() const { return stopped_; }

  // Whether clients were let in, also if the process was told to stop since.
  [[nodiscard]] bool was_ready() const { return ready_; }

  // Why the process is not ready, in a word; empty if it is.
  [[nodiscard]] std::string not_ready_reason() const;

 private:
  void check(Time wait_until);

  EventLoop& loop_;
  std::function<bool()> engines_known_;
  std::function<void()> on_ready_;
  bool ready_ = false;
  bool stopped_ = false;
};

}  // namespace rookproxy
