// Reproducible random pauses: the same seed gives the same sequence.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace rookproxy::cluster {

// A seeded source of pauses.
class RandomPauses {
 public:
  explicit RandomPauses(std::uint64_t seed) : seed_(seed) {}

  // Uniform in [0, bound). A bound of 0 or 1 gives 0 and consumes nothing of the sequence.
  std::uint64_t below(std::uint64_t bound);

  // Uniform from half of `pause` to the whole of it.
  Duration jittered(Duration pause);

 private:
  friend class ConsensusStateEncoder;

  std::uint64_t seed_;
  std::uint64_t draws_ = 0;
};

// Pauses between attempts, doubled after each until they reach a maximum, with jitter.
class ExponentialBackoff {
 public:
  // The pause before the next attempt.
  Duration next_pause(Duration initial, Duration maximum, RandomPauses& random);

  // Starts again with the initial pause.
  void reset() { doublings_ = 0; }

 private:
  friend class ConsensusStateEncoder;

  int doublings_ = 0;
};

}  // namespace rookproxy::cluster
