// Packs the entries of a plan into numbers, so that the largest plan fits one datagram.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "cluster/cluster_config.h"
#include "cluster/transport/drop_reason.h"

namespace rookproxy::cluster::transport {

// The entries of a plan as they are sent. Times are milliseconds since `base_time`, plus one; 0 is 'not set'.
struct PackedPlan {
  std::uint64_t base_time = 0;             // the earliest time in the plan, in Unix milliseconds; 0: none
  std::vector<std::uint64_t> zones;        // one number each
  std::vector<std::uint64_t> retirements;  // two numbers each: the second is the order's
};

// Fails with kInvalidTime on times that are not whole milliseconds, before 1970 or too far apart.
std::variant<PackedPlan, DropReason> pack(const ClusterConfig& plan);

// Appends the packed entries to `plan`. Returns why that is impossible; `plan` then holds some of them.
[[nodiscard]] std::optional<DropReason> unpack(const PackedPlan& packed, ClusterConfig& plan);

}  // namespace rookproxy::cluster::transport
