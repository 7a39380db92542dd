// Detects connections that receive nothing while attempts are open.
#pragma once

#include <functional>
#include <utility>

#include "base/time.h"
#include "net/event_loop.h"
#include "net/timer.h"
#include "upstream/pool_limits.h"

namespace rookproxy {

// Calls `on_unresponsive` on the event loop's thread each time nothing was received for the unresponsive
// timeout. Engines report progress several times within that timeout, so a connection without any data has
// probably lost its peer.
class ResponsivenessMonitor {
 public:
  // `limits` is read each time the timer is set. The loop and the limits must outlive the monitor.
  ResponsivenessMonitor(EventLoop& loop, const PoolLimits& limits, std::function<void()> on_unresponsive)
      : loop_(loop), limits_(limits), on_unresponsive_(std::move(on_unresponsive)), timer_(loop) {}

  // Records that data was received.
  void record_activity() { last_activity_ = loop_.now(); }
  // Returns the time at which data was last received; the epoch if none was.
  [[nodiscard]] Time last_activity() const { return last_activity_; }

  // Starts monitoring. Does nothing if the unresponsive timeout is 0.
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
