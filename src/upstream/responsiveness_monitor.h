// Detects a connection on which attempts are open and nothing is received.
#pragma once

#include <functional>
#include <utility>

#include "base/time.h"
#include "net/event_loop.h"
#include "net/timer.h"
#include "upstream/pool_limits.h"

namespace rookproxy {

// Calls back, on the loop's thread, each time nothing was received for the unresponsive timeout while it
// runs. Engines report progress several times in that time, so a connection without any has probably lost its
// peer.
class ResponsivenessMonitor {
 public:
  // `limits` is read whenever the timer is set, and must outlive this, as must the loop.
  ResponsivenessMonitor(EventLoop& loop, const PoolLimits& limits, std::function<void()> on_unresponsive)
      : loop_(loop), limits_(limits), on_unresponsive_(std::move(on_unresponsive)), timer_(loop) {}

  // Something was received.
  void record_activity() { last_activity_ = loop_.now(); }
  // When something was last received; the epoch if nothing was.
  [[nodiscard]] Time last_activity() const { return last_activity_; }

  // Watches from now on; a timeout of 0 leaves things as they are.
  void start();
  void stop() { timer_.cancel(); }

 private:
  void check(Time started_at);

  EventLoop& loop_;
  const PoolLimits& limits_;
  std::function<void()> on_unresponsive_;
  Time last_activity_{};
  Timer timer_;
};

}  // namespace rookproxy
