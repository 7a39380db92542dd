/// The random faults of one direction of a fault-injecting network.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"
#include "fakes/link_rule.h"

namespace rookproxy::test {

/// What happens to one datagram.
struct DatagramFate {
  bool is_dropped = false;
  bool is_reordered = false;
  bool is_duplicated = false;
  Duration delay{};
  Duration duplicate_delay{};
};

/// Draws faults by a rule. Every datagram takes the same number of random numbers, so that the fate of the
/// n-th one depends on the seed and the rule alone. For one thread.
class FaultGenerator {
 public:
  /// Two directions with the same seed have different random numbers.
  FaultGenerator(std::uint64_t seed, NodeId from, NodeId to);

  [[nodiscard]] DatagramFate draw_datagram_fate(const LinkRule& rule);
  [[nodiscard]] Duration draw_delay(const LinkRule& rule);

 private:
  [[nodiscard]] double next_uniform();

  std::mt19937_64 random_engine_;
};

}  // namespace rookproxy::test
