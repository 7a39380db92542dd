// A token bucket whose rate and capacity may change from call to call.
#pragma once

#include <algorithm>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Grants one token per request while any are saved. The caller sets rate and capacity; no decision is made
// here.
class TokenBucket {
 public:
  TokenBucket(double tokens, Time now) : tokens_(tokens), filled_at_(now) {}

  // Adds what came in since the last call, at most up to `capacity` tokens, and takes one token.
  // Returns false, and takes nothing, if less than one token is there.
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
