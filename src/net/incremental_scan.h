// Scans many keys over several iterations of the event loop.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/slot_map.h"
#include "net/timer.h"

namespace rookproxy {

// Visits a few keys per iteration, so that a long scan does not delay other work.
class IncrementalScan {
 public:
  IncrementalScan(EventLoop& loop, std::function<void(SlotKey)> visit)
      : loop_(loop), visit_(std::move(visit)), timer_(loop) {}

  // Starts a new scan over these keys, from the last to the first. `visit` must accept keys whose values have
  // been removed.
  void start(std::vector<SlotKey> keys) {
    remaining_ = std::move(keys);
    timer_.cancel();
    scan_some();
  }

 private:
  static constexpr int kKeysPerIteration = 8;

  void scan_some() {
    timer_.mark_as_run();
    for (int budget = kKeysPerIteration; budget > 0 && !remaining_.empty(); --budget) {
      const SlotKey key = remaining_.back();
      remaining_.pop_back();
      visit_(key);
    }
    if (!remaining_.empty()) timer_.set(loop_.now(), [this] { scan_some(); });
  }

  EventLoop& loop_;
  std::function<void(SlotKey)> visit_;
  std::vector<SlotKey> remaining_;
  Timer timer_;
};

}  // namespace rookproxy
