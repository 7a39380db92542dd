#include "fakes/link_direction.h"

#include <algorithm>

namespace rookproxy::test {

LinkDirection::LinkDirection(std::uint64_t seed, NodeId from, NodeId to) {
  std::seed_seq seeds{seed >> 32, seed & 0xffffffff, std::uint64_t(from), std::uint64_t(to)};
  random_engine_.seed(seeds);
}

DatagramFate LinkDirection::draw_datagram_fate(const LinkRule& rule) {
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

Duration LinkDirection::draw_delay(const LinkRule& rule) {
  const Duration spread = std::max(rule.max_delay - rule.min_delay, Duration(0));
  const double extra = next_uniform() * static_cast<double>(spread.count());
  return rule.min_delay + Duration(static_cast<std::int64_t>(extra));
}

// From 0 up to but not 1, of 53 random bits.
double LinkDirection::next_uniform() { return static_cast<double>(random_engine_() >> 11) * 0x1p-53; }

}  // namespace rookproxy::test
