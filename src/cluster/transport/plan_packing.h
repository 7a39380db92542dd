// Packs the entries of a plan into integers, so that the largest plan fits into one datagram.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "cluster/cluster_config.h"
#include "cluster/transport/drop_reason.h"

namespace rookproxy::cluster::transport {

// The entries of a plan as they are sent. Times are milliseconds since `base_time` plus one; 0 means not set.
struct PackedPlan {
  std::uint64_t base_time = 0;             // The earliest time of the plan in Unix milliseconds; 0 if none.
  std::vector<std::uint64_t> zones;        // One number per zone.
  std::vector<std::uint64_t> retirements;  // Two numbers per retirement; the second one is its order.
};

// Fails with kInvalidTime if a time is not a whole number of milliseconds, is before 1970, or is too far from
// the earliest one.
std::variant<PackedPlan, DropReason> pack(const ClusterConfig& plan);

// Appends the packed entries to `plan`. On failure, returns the reason and may leave `plan` with some of
// them.
[[nodiscard]] std::optional<DropReason> unpack(const PackedPlan& packed, ClusterConfig& plan);

}  // namespace rookproxy::cluster::transport
