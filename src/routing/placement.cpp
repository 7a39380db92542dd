#include "routing/placement.h"

#include <algorithm>

#include "routing/hash.h"

namespace rookproxy::routing {
// Time constant of a group's demand.
constexpr double kDemandTimeConstantUs = 10'000'000;
// Groups with less demand are not planned and have no preferred engine.
constexpr std::size_t kMaxPlannedGroups = 256;
// With fewer groups than this, the plan is recomputed at once for a new group.
constexpr std::size_t kMinGroupsForPlanInterval = 16;
// Interval between plans.
constexpr Time kPlanInterval = 1'000'000;
// Minimum interval between plans that are made because of new groups.
constexpr Time kMinPlanInterval = kPlanInterval / 10;

void Placement::record_demand(std::uint64_t group, double work, Time now) {
  // Bounds the memory until the next plan drops the least requested groups.
  if (demand_.size() >= 2 * kMaxPlannedGroups && !demand_.contains(group)) return;
  demand_[group].add(work, now, kDemandTimeConstantUs);
}

bool Placement::plan_expired(Time now) const { return now - planned_at_ >= kPlanInterval; }

bool Placement::needs_plan(std::uint64_t group, Time now) const {
  const bool may_plan =
      assignments_.size() < kMinGroupsForPlanInterval || now - planned_at_ >= kMinPlanInterval;
  return may_plan && !is_planned(group);
}

std::vector<Placement::GroupDemand> Placement::groups_to_plan(Time now) {
  std::vector<GroupDemand> groups;
  for (const auto& [group, work] : demand_) groups.push_back({work.value(now, kDemandTimeConstantUs), group});
  std::sort(groups.rbegin(), groups.rend());
  for (std::size_t i = kMaxPlannedGroups; i < groups.size(); ++i) demand_.erase(groups[i].group);
  groups.resize(std::min(groups.size(), kMaxPlannedGroups));
  return groups;
}

void Placement::plan(const std::vector<EngineCapacity>& engines, Time now) {
  planned_at_ = now;
  assignments_.clear();
  const std::vector<GroupDemand> groups = groups_to_plan(now);
  double total_work = 0;
  double total_capacity = 0;
  for (const auto& one : groups) total_work += one.work;
  for (const auto& one : engines) total_capacity += one.capacity;
  if (total_work <= 0 || total_capacity <= 0) return;
  std::vector<Pair> pairs;
  std::vector<double> unassigned_work;
  std::vector<double> free_capacity;
  free_capacity.reserve(engines.size());
  for (const auto& one : engines) free_capacity.push_back(one.capacity / total_capacity);
  for (std::size_t g = 0; g < groups.size(); ++g) {
    unassigned_work.push_back(groups[g].work / total_work);
    const std::uint64_t group_hash = mix(groups[g].group + 1);
    for (std::size_t e = 0; e < engines.size(); ++e) {
      pairs.push_back({mix(engines[e].hash ^ group_hash), g, e});
    }
  }
  std::sort(pairs.begin(), pairs.end());
  for (const auto& [hash, g, e] : pairs) {
    const double assigned = std::min(unassigned_work[g], free_capacity[e]);
    if (assigned <= 0) continue;
    unassigned_work[g] -= assigned;
    free_capacity[e] -= assigned;
    assignments_[groups[g].group].push_back({engines[e].engine,
                                             assigned * total_capacity / engines[e].capacity,
                                             assigned * total_work / groups[g].work});
  }
}

EngineId Placement::select_engine(std::uint64_t group, double fraction) const {
  const auto found = assignments_.find(group);
  if (found == assignments_.end()) return kNoPreferredEngine;
  for (const auto& one : found->second) {
    fraction -= one.share_of_group;
    if (fraction < 0) return one.engine;
  }
  return found->second.back().engine;
}

double Placement::planned_share(EngineId engine, std::uint64_t group) const {
  const auto found = assignments_.find(group);
  if (found == assignments_.end()) return 0;
  for (const auto& one : found->second) {
    if (one.engine == engine) return one.share_of_engine;
  }
  return 0;
}

}  // namespace rookproxy::routing
