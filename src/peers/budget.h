// A token bucket of bytes: what a dispatcher may say to its peers a second.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace rookproxy::peers {

class Budget {
 public:
  // Holds at most a second's worth, and is full at first.
  explicit Budget(std::uint32_t bytes_per_second) : rate_(bytes_per_second), level_(bytes_per_second) {}
  // Is there as much? The last quarter is for what is `urgent`.
  bool has(std::size_t bytes, bool urgent, Time now) {
    if (now > filled_) {
      const double seconds = std::chrono::duration<double>(now - filled_).count();
      level_ = std::min(rate_, level_ + seconds * rate_);
      filled_ = now;
    }
    return level_ - static_cast<double>(bytes) >= (urgent ? 0 : rate_ / 4);
  }
  void take(std::size_t bytes) { level_ -= static_cast<double>(bytes); }

 private:
  double rate_, level_;
  Time filled_{};
};

}  // namespace rookproxy::peers
