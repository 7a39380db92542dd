// Rules and counters of one direction between two nodes of a fault-injecting network.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace rookproxy::test {

// The id of a node, assigned by the test.
using NodeId = std::uint32_t;

// The faults of one direction. Probabilities range from 0 to 1.
struct LinkRule {
  // Datagrams are dropped, and the bytes of connections are held until the partition ends.
  bool is_partitioned = false;
  double loss_probability = 0;       // of a datagram
  double duplicate_probability = 0;  // of a datagram
  // Of a datagram, which is held until the next one has passed, or for kReorderHoldTime.
  double reorder_probability = 0;
  // Delays are distributed uniformly between these two. The bytes of a connection keep their order.
  Duration min_delay{};
  Duration max_delay{};
};

// Counters of one direction.
struct LinkStatistics {
  std::uint64_t datagrams_received = 0;
  std::uint64_t datagrams_forwarded = 0;
  std::uint64_t datagrams_dropped = 0;
  std::uint64_t datagrams_duplicated = 0;
  std::uint64_t datagrams_reordered = 0;
  std::uint64_t connections_opened = 0;
  std::uint64_t bytes_forwarded = 0;  // of connections
  bool operator==(const LinkStatistics&) const = default;
};

}  // namespace rookproxy::test
