// Goes through many things a few a turn, so that nobody else waits for all of them.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "net/loop.h"

namespace rookproxy {

class IncrementalScan {
 public:
  IncrementalScan(EventLoop& loop, std::function<void(SlotKey)> look)
      : loop_(loop), visit_(std::move(look)) {}
  ~IncrementalScan() { loop_.cancel(timer_); }
  IncrementalScan(const IncrementalScan&) = delete;
  IncrementalScan& operator=(const IncrementalScan&) = delete;
  // Begins anew; a key whose thing has gone meanwhile is for `look` to find out.
  void start(std::vector<SlotKey> keys) {
    remaining_ = std::move(keys);
    loop_.cancel(timer_);
    scan_some();
  }

 private:
  static constexpr int kKeysPerIteration = 8;
  void scan_some() {
    timer_ = {};
    for (int left = kKeysPerIteration; left > 0 && !remaining_.empty(); --left) {
      const SlotKey key = remaining_.back();
      remaining_.pop_back();
      visit_(key);
    }
    if (!remaining_.empty()) timer_ = loop_.run_at(loop_.now(), [this] { scan_some(); });
  }
  EventLoop& loop_;
  std::function<void(SlotKey)> visit_;
  std::vector<SlotKey> remaining_;
  TimerId timer_{};
};

}  // namespace rookproxy
