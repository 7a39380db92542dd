// Decides when a process is ready to serve clients.
#pragma once

#include <functional>
#include <string>

#include "net/event_loop.h"

namespace rookproxy {

// After a start, waits a limited time for the list of engines before clients are accepted; clients that
// connect meanwhile wait in the listener's backlog. Used on the event loop's thread.
class Readiness {
 public:
  // `engines_known` is polled until it returns true or the wait times out; then `on_ready` is called, once.
  Readiness(EventLoop& loop, std::function<bool()> engines_known, std::function<void()> on_ready);

  // Starts to wait with the next iteration of the loop, so that a pending signal to stop is handled first.
  void start();

  // Ends readiness for good: a process that is told to stop before it was ready must not accept clients.
  void stop() { stopped_ = true; }

  [[nodiscard]] bool is_stopped() const { return stopped_; }

  // Whether clients were accepted, also if the process was told to stop since.
  [[nodiscard]] bool was_ready() const { return ready_; }

  // Why the process is not ready, in one word; empty if it is ready.
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
