// A token bucket of bytes: what a dispatcher may say to its peers a second.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace rookproxy::cluster::transport {

class ByteRateLimiter {
 public:
  // Holds at most a second's worth, and is full at first.
  explicit ByteRateLimiter(std::uint32_t bytes_per_second)
      : rate_(bytes_per_second), tokens_(bytes_per_second) {}
  // Is there as much? The last quarter is for what is `urgent`.
  bool allows(std::size_t bytes, bool urgent, Time now) {
    if (now > refilled_at_) {
      const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
      tokens_ = std::min(rate_, tokens_ + seconds * rate_);
      refilled_at_ = now;
    }
    return tokens_ - static_cast<double>(bytes) >= (urgent ? 0 : rate_ / 4);
  }
  void consume(std::size_t bytes) { tokens_ -= static_cast<double>(bytes); }

 private:
  double rate_, tokens_;
  Time refilled_at_{};
};

}  // namespace rookproxy::cluster::transport
