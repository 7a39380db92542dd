/// One direction between two nodes of a fault-injecting network.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "fakes/link_rule.h"

namespace rookproxy::test {

/// What happens to one datagram.
struct DatagramFate {
  bool is_dropped;
  bool is_reordered;
  bool is_duplicated;
  Duration delay;
  Duration duplicate_delay;
};

/// A direction's own rule, random numbers and counters. Every datagram takes the same number of random
/// numbers, so that the fate of the n-th one depends on the seed and the rule alone.
class LinkDirection {
 public:
  LinkDirection(std::uint64_t seed, NodeId from, NodeId to);

  [[nodiscard]] DatagramFate draw_datagram_fate(const LinkRule& rule);
  [[nodiscard]] Duration draw_delay(const LinkRule& rule);

  std::optional<LinkRule> own_rule;          // instead of the network's default rule
  std::optional<std::string> held_datagram;  // waits to be overtaken by the next one
  LinkStatistics statistics;

 private:
  [[nodiscard]] double next_uniform();

  std::mt19937_64 random_engine_;
};

}  // namespace rookproxy::test
