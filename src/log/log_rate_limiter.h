/// Bounds how many messages of one kind are logged.
#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

#include "base/time.h"

namespace rookproxy {

/// Allows a number of messages in each second, so that a burst of one kind does not use up the lines that the
/// logger writes in a second.
class LogRateLimiter {
 public:
  explicit constexpr LogRateLimiter(int messages_per_second) : messages_per_second_(messages_per_second) {}

  /// Whether one more message may be logged at `now`; one that may not is counted.
  [[nodiscard]] bool allow(Time now) {
    if (now - window_start_ >= kWindow) {
      window_start_ = now;
      taken_ = 0;
    }
    if (taken_ < messages_per_second_) {
      ++taken_;
      return true;
    }
    ++suppressed_;
    return false;
  }

  /// How many messages were left out since this was asked last.
  [[nodiscard]] std::uint64_t take_suppressed() { return std::exchange(suppressed_, 0); }

 private:
  static constexpr Duration kWindow = std::chrono::seconds(1);

  int messages_per_second_;
  int taken_ = 0;
  std::uint64_t suppressed_ = 0;
  Time window_start_{};
};

}  // namespace rookproxy
