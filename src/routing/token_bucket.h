// A token bucket whose rate and capacity may change from call to call.
#pragma once

#include <algorithm>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Grants one token per call while tokens are available. The caller passes rate and capacity.
class TokenBucket {
 public:
  TokenBucket(double tokens, Time now) : tokens_(tokens), filled_at_(now) {}

  // Refills the bucket for the time since the last call, up to `capacity` tokens, and takes one token.
  // Returns false, and takes nothing, if less than one token is available.
  [[nodiscard]] bool try_take(double tokens_per_second, double capacity, Time now) {
    const auto elapsed = static_cast<double>(now - filled_at_);
    filled_at_ = now;
    tokens_ = std::min(tokens_ + tokens_per_second * elapsed / 1e6, capacity);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_;
  Time filled_at_;
};

}  // namespace rookproxy::routing
