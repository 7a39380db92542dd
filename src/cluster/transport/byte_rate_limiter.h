// Limits the bytes per second that a member sends to its peers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace rookproxy::cluster::transport {

// A token bucket with a capacity of one second's bytes, initially full. A quarter of it is reserved for
// urgent messages.
class ByteRateLimiter {
 public:
  explicit ByteRateLimiter(std::uint32_t bytes_per_second)
      : rate_(bytes_per_second), tokens_(bytes_per_second) {}

  // Whether a message of this size may be sent now.
  [[nodiscard]] bool allows(std::size_t bytes, bool is_urgent, Time now) {
    refill(now);
    const double reserve = is_urgent ? 0 : rate_ / 4;
    return tokens_ - static_cast<double>(bytes) >= reserve;
  }
  // Takes the tokens of a message that is being sent.
  void consume(std::size_t bytes) { tokens_ -= static_cast<double>(bytes); }

 private:
  void refill(Time now) {
    if (now <= refilled_at_) return;
    const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(rate_, tokens_ + seconds * rate_);
    refilled_at_ = now;
  }

  double rate_;
  double tokens_;
  Time refilled_at_{};
};

}  // namespace rookproxy::cluster::transport
