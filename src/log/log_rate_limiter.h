// Limits the rate of log messages of one kind.
#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

#include "base/time.h"

namespace rookproxy {

// Allows a number of messages per second, so that a burst of one kind does not exhaust the logger's limit.
class LogRateLimiter {
 public:
  explicit constexpr LogRateLimiter(int messages_per_second) : messages_per_second_(messages_per_second) {}

  // Whether one more message may be logged at `now`. If not, it is counted as suppressed.
  [[nodiscard]] bool allow(Time now) {
    if (now - window_start_ >= kWindow) {
      window_start_ = now;
      allowed_ = 0;
    }
    if (allowed_ < messages_per_second_) {
      ++allowed_;
      return true;
    }
    ++suppressed_;
    return false;
  }

  // Returns and resets the number of suppressed messages.
  [[nodiscard]] std::uint64_t take_suppressed() { return std::exchange(suppressed_, 0); }

 private:
  static constexpr Duration kWindow = std::chrono::seconds(1);

  int messages_per_second_;
  int allowed_ = 0;
  std::uint64_t suppressed_ = 0;
  Time window_start_{};
};

}  // namespace rookproxy
