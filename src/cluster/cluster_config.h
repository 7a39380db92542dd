// The cluster-wide configuration, also called the plan: the one value that consensus replicates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace rookproxy::cluster {

// Bounds that keep a plan small enough for one datagram beside its ballot and its authentication code.
inline constexpr std::size_t kMaxZones = 8;
inline constexpr std::size_t kMaxRetirements = 4;

// The phase of one zone.
enum class ZoneState : std::uint8_t { kServing = 0, kStrained = 1, kAway = 2, kReturning = 3 };

// What the plan says about one zone. Zones and sites are identified by their position in the operator's
// file; the plan carries that file's fingerprint, so that dispatchers with another file do not misread it.
struct ZonePlan {
  std::uint8_t zone = 0;
  ZoneState state = ZoneState::kServing;
  std::uint8_t share = 100;  // percent of its usual traffic, 0 to 100
  std::uint8_t step = 0;     // of its return to service
  Time since{};              // start of this state or step, in whole milliseconds; Time{}: not set
  bool operator==(const ZonePlan&) const = default;
};

// The phase of the retirement of one site.
enum class RetirementState : std::uint8_t {
  kMoving = 0,
  kPaused = 1,
  kCancelling = 2,
  kRetired = 3,
  kStopped = 4
};

// What the plan says about the retirement of one site.
struct RetirementPlan {
  std::uint8_t site = 0;
  RetirementState state = RetirementState::kMoving;
  std::uint8_t weight = 100;  // percent of its configured weight, 0 to 100
  std::uint32_t order = 0;    // number of the operator's order in force
  Time since{};               // start of this state, in whole milliseconds; Time{}: not set
  bool operator==(const RetirementPlan&) const = default;
};

// The plan of one epoch. Consensus decides at most one plan for each epoch.
struct ClusterConfig {
  std::uint32_t epoch = 0;        // 0: the settings that every dispatcher starts with
  std::uint32_t fingerprint = 0;  // of the operator's list of zones and sites
  std::vector<ZonePlan> zones;
  std::vector<RetirementPlan> retirements;
  bool operator==(const ClusterConfig&) const = default;
};

// Whether the plan has at most the allowed number of entries.
[[nodiscard]] inline bool is_within_limits(const ClusterConfig& plan) {
  return plan.zones.size() <= kMaxZones && plan.retirements.size() <= kMaxRetirements;
}

}  // namespace rookproxy::cluster
