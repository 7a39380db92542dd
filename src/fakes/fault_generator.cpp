#include "fakes/fault_generator.h"

#include <algorithm>

namespace rookproxy::test {

FaultGenerator::FaultGenerator(std::uint64_t seed, NodeId from, NodeId to) {
  std::seed_seq seeds{seed >> 32, seed & 0xffffffff, static_cast<std::uint64_t>(from),
                      static_cast<std::uint64_t>(to)};
  random_engine_.seed(seeds);
}

DatagramFate FaultGenerator::draw_datagram_fate(const LinkRule& rule) {
  const double loss_draw = next_uniform();
  const double duplicate_draw = next_uniform();
  const double reorder_draw = next_uniform();
  DatagramFate fate;
  fate.is_dropped = rule.is_partitioned || loss_draw < rule.loss_probability;
  fate.is_reordered = reorder_draw < rule.reorder_probability;
  fate.is_duplicated = duplicate_draw < rule.duplicate_probability;
  fate.delay = draw_delay(rule);
  fate.duplicate_delay = draw_delay(rule);
  return fate;
}

Duration FaultGenerator::draw_delay(const LinkRule& rule) {
  const Duration spread = std::max(rule.max_delay - rule.min_delay, Duration(0));
  const double extra = next_uniform() * static_cast<double>(spread.count());
  return rule.min_delay + Duration(static_cast<std::int64_t>(extra));
}

// Uniform in [0, 1): 53 random bits, as many as a double's fraction holds.
double FaultGenerator::next_uniform() {
  constexpr unsigned kDiscardedBits = 64 - 53;
  return static_cast<double>(random_engine_() >> kDiscardedBits) * 0x1p-53;
}

}  // namespace rookproxy::test
