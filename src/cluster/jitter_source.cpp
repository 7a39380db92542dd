#include "cluster/jitter_source.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace rookproxy::cluster {

std::uint64_t JitterSource::below(std::uint64_t bound) {
  if (bound <= 1) return 0;
  ++draws_;
  return XXH3_64bits_withSeed(&draws_, sizeof draws_, seed_) % bound;
}

Duration JitterSource::jittered(Duration delay) {
  const Duration::rep half = delay.count() / 2;
  const std::uint64_t extra = below(static_cast<std::uint64_t>(half) + 1);
  return Duration(delay.count() - half + static_cast<Duration::rep>(extra));
}

Duration ExponentialBackoff::next_delay(Duration initial, Duration maximum, JitterSource& random) {
  Duration delay = initial;
  for (int i = 0; i < doublings_ && delay < maximum; ++i) delay *= 2;
  if (delay < maximum) ++doublings_;
  return random.jittered(std::min(delay, maximum));
}

}  // namespace rookproxy::cluster
