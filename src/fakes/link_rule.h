/// What a fault-injecting network does in one direction between two nodes, and what it counted there.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace rookproxy::test {

/// A node of the test network, by the number that the test gives it.
using NodeId = std::uint32_t;

/// The faults of one direction. Probabilities are from 0 to 1.
struct LinkRule {
  /// Datagrams are lost; the bytes of connections wait until the partition ends.
  bool is_partitioned = false;
  double loss_probability = 0;       // of a datagram
  double duplicate_probability = 0;  // of a datagram
  /// Of a datagram; it waits until the next one has passed, or for kReorderHoldTime.
  double reorder_probability = 0;
  /// Delays are drawn evenly between these two; the bytes of a connection keep their order.
  Duration min_delay{};
  Duration max_delay{};
};

/// Counters of one direction.
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
