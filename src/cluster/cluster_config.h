// The cluster-wide configuration, also called the plan: the one value that consensus replicates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace rookproxy::cluster {

// Limits under which a plan fits into one datagram together with its ballot and authentication code.
inline constexpr std::size_t kMaxZones = 8;
inline constexpr std::size_t kMaxRetirements = 4;

// The state of one zone.
enum class ZoneState : std::uint8_t { kServing = 0, kOverloaded = 1, kUnavailable = 2, kReturning = 3 };

// The part of the plan that concerns one zone. Zones and sites are identified by their position in the
// operator's file. The plan carries a fingerprint of that file, so that dispatchers with a different file do
// not misread it.
struct ZonePlan {
  std::uint8_t zone = 0;
  ZoneState state = ZoneState::kServing;
  std::uint8_t share = 100;  // Percentage of the zone's usual traffic, 0 to 100.
  std::uint8_t step = 0;     // The step of the zone's return to service.
  Time since{};              // Start of this state or step in whole milliseconds; Time{} if not set.
  bool operator==(const ZonePlan&) const = default;
};

// The state of the retirement of one site.
enum class RetirementState : std::uint8_t {
  kMoving = 0,
  kPaused = 1,
  kCancelling = 2,
  kRetired = 3,
  kStopped = 4
};

// The part of the plan that concerns the retirement of one site.
struct RetirementPlan {
  std::uint8_t site = 0;
  RetirementState state = RetirementState::kMoving;
  std::uint8_t weight = 100;  // Percentage of the site's configured weight, 0 to 100.
  std::uint32_t order = 0;    // The number of the operator's order in force.
  Time since{};               // Start of this state in whole milliseconds; Time{} if not set.
  bool operator==(const RetirementPlan&) const = default;
};

// The plan of one epoch. Consensus decides at most one plan for each epoch.
struct ClusterConfig {
  std::uint32_t epoch = 0;        // Epoch 0 is the initial plan of every dispatcher.
  std::uint32_t fingerprint = 0;  // Identifies the operator's list of zones and sites.
  std::vector<ZonePlan> zones;
  std::vector<RetirementPlan> retirements;
  bool operator==(const ClusterConfig&) const = default;
};

// Whether the plan has at most the allowed number of entries.
[[nodiscard]] inline bool is_within_limits(const ClusterConfig& plan) {
  return plan.zones.size() <= kMaxZones && plan.retirements.size() <= kMaxRetirements;
}

}  // namespace rookproxy::cluster
