#include "cluster/random_pauses.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rookproxy::cluster {

std::uint64_t RandomPauses::below(std::uint64_t bound) {
  if (bound <= 1) return 0;
  ++draws_;
  return XXH3_64bits_withSeed(&draws_, sizeof draws_, seed_) % bound;
}

Duration RandomPauses::jittered(Duration pause) {
  const Duration::rep half = pause.count() / 2;
  const std::uint64_t extra = below(static_cast<std::uint64_t>(half) + 1);
  return Duration(pause.count() - half + static_cast<Duration::rep>(extra));
}

Duration ExponentialBackoff::next_pause(Duration initial, Duration maximum, RandomPauses& random) {
  Duration pause = initial;
  for (int i = 0; i < doublings_ && pause < maximum; ++i) pause *= 2;
  if (pause < maximum) ++doublings_;
  return random.jittered(std::min(pause, maximum));
}

}  // namespace rookproxy::cluster
