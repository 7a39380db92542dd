// One direction between two nodes of a fault-injecting network.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "fakes/link_rule.h"

namespace rookproxy::test {

// The faults that are applied to a datagram.
struct DatagramFaults {
  bool is_dropped;
  bool is_reordered;
  bool is_duplicated;
  Duration delay;
  Duration duplicate_delay;
};

// The rule, random number generator and counters of one direction. Every datagram consumes the same number of
// random numbers, so that the handling of the n-th one depends only on the seed and the rule.
class LinkDirection {
 public:
  LinkDirection(std::uint64_t seed, NodeId from, NodeId to);

  [[nodiscard]] DatagramFaults draw_datagram_faults(const LinkRule& rule);
  [[nodiscard]] Duration draw_delay(const LinkRule& rule);

  std::optional<LinkRule> own_rule;          // replaces the network's default rule
  std::optional<std::string> held_datagram;  // waits for the next one to overtake it
  LinkStatistics statistics;

 private:
  [[nodiscard]] double next_uniform();

  std::mt19937_64 random_engine_;
};

}  // namespace rookproxy::test
