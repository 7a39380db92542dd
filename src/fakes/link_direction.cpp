#include "fakes/link_direction.h"

#include <algorithm>

namespace rookproxy::test {

LinkDirection::LinkDirection(std::uint64_t seed, NodeId from, NodeId to) {
  std::seed_seq seeds{seed >> 32, seed & 0xffffffff, std::uint64_t(from), std::uint64_t(to)};
  random_engine_.seed(seeds);
}

DatagramFaults LinkDirection::draw_datagram_faults(const LinkRule& rule) {
  const double loss_draw = next_uniform();
  const double duplicate_draw = next_uniform();
  const double reorder_draw = next_uniform();
  DatagramFaults faults;
  faults.is_dropped = rule.is_partitioned || loss_draw < rule.loss_probability;
  faults.is_reordered = reorder_draw < rule.reorder_probability;
  faults.is_duplicated = duplicate_draw < rule.duplicate_probability;
  faults.delay = draw_delay(rule);
  faults.duplicate_delay = draw_delay(rule);
  return faults;
}

Duration LinkDirection::draw_delay(const LinkRule& rule) {
  const Duration spread = std::max(rule.max_delay - rule.min_delay, Duration(0));
  const double extra = next_uniform() * static_cast<double>(spread.count());
  return rule.min_delay + Duration(static_cast<std::int64_t>(extra));
}

// Returns a number in [0, 1) with 53 random bits.
double LinkDirection::next_uniform() { return static_cast<double>(random_engine_() >> 11) * 0x1p-53; }

}  // namespace rookproxy::test
