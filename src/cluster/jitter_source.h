// Random jitter and exponential backoff. The same seed reproduces the same delays.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace rookproxy::cluster {

// A seeded source of random delays.
class JitterSource {
 public:
  explicit JitterSource(std::uint64_t seed) : seed_(seed) {}

  // Returns a uniformly distributed number in [0, bound). A bound of 0 or 1 returns 0 and draws nothing.
  std::uint64_t below(std::uint64_t bound);

  // Returns a uniformly distributed delay between half of `delay` and `delay`.
  Duration jittered(Duration delay);

 private:
  friend class ConsensusStateEncoder;

  std::uint64_t seed_;
  std::uint64_t draws_ = 0;
};

// Delays between attempts with jitter, doubled after each attempt up to a maximum.
class ExponentialBackoff {
 public:
  // Returns the delay before the next attempt.
  Duration next_delay(Duration initial, Duration maximum, JitterSource& random);

  // Restarts with the initial delay.
  void reset() { doublings_ = 0; }

 private:
  friend class ConsensusStateEncoder;

  int doublings_ = 0;
};

}  // namespace rookproxy::cluster
