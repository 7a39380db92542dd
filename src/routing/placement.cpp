#include "routing/placement.h"

#include <algorithm>

#include "routing/hash.h"

namespace rookproxy::routing {
constexpr double kDemandTimeConstant = 10'000'000;     // us, of a group's traffic by which it is planned
constexpr std::size_t kMaxPlannedGroups = 256;         // the rest, least asked for, have the hash alone
constexpr std::size_t kAlwaysPlannedGroups = 16;       // so few may be planned anew at once
constexpr Time kPlanInterval = 1'000'000;              // us, between plans ...
constexpr Time kMinPlanInterval = kPlanInterval / 10;  // ... and at least, for groups that are new

void Placement::record_demand(std::uint64_t group, double work, Time now) {
  if (demand_.size() >= 2 * kMaxPlannedGroups && !demand_.contains(group)) return;  // until the next plan
  demand_[group].add(work, now, kDemandTimeConstant);
}

bool Placement::plan_expired(Time now) const { return now - planned_at_ >= kPlanInterval; }

bool Placement::needs_plan(std::uint64_t group, Time now) const {
  const bool may_plan = assignments_.size() < kAlwaysPlannedGroups || now - planned_at_ >= kMinPlanInterval;
  return may_plan && !is_planned(group);
}

std::vector<Placement::GroupDemand> Placement::groups_to_plan(Time now) {
  std::vector<GroupDemand> groups;
  for (const auto& [group, work] : demand_) groups.push_back({work.value(now, kDemandTimeConstant), group});
  std::sort(groups.rbegin(), groups.rend());
  for (std::size_t i = kMaxPlannedGroups; i < groups.size(); ++i) demand_.erase(groups[i].group);
  groups.resize(std::min(groups.size(), kMaxPlannedGroups));
  return groups;
}

void Placement::plan(const std::vector<EngineCapacity>& engines, Time now) {
  planned_at_ = now;
  assignments_.clear();
  const std::vector<GroupDemand> groups = groups_to_plan(now);
  double all_work = 0;
  double all_capacity = 0;
  for (const auto& one : groups) all_work += one.work;
  for (const auto& one : engines) all_capacity += one.capacity;
  if (all_work <= 0 || all_capacity <= 0) return;
  std::vector<Pair> pairs;
  std::vector<double> wanted;
  std::vector<double> left;
  left.reserve(engines.size());
  for (const auto& one : engines) left.push_back(one.capacity / all_capacity);
  for (std::size_t g = 0; g < groups.size(); ++g) {
    wanted.push_back(groups[g].work / all_work);
    const std::uint64_t group_hash = mix(groups[g].group + 1);
    for (std::size_t e = 0; e < engines.size(); ++e) {
      pairs.push_back({mix(engines[e].hash ^ group_hash), g, e});
    }
  }
  std::sort(pairs.begin(), pairs.end());
  for (const auto& [hash, g, e] : pairs) {
    const double taken = std::min(wanted[g], left[e]);
    if (taken <= 0) continue;
    wanted[g] -= taken;
    left[e] -= taken;
    assignments_[groups[g].group].push_back(
        {engines[e].engine, taken * all_capacity / engines[e].capacity, taken * all_work / groups[g].work});
  }
}

EngineId Placement::select_engine(std::uint64_t group, double draw) const {
  const auto found = assignments_.find(group);
  if (found == assignments_.end()) return kNoPreferredEngine;
  for (const auto& one : found->second) {
    draw -= one.share_of_group;
    if (draw < 0) return one.engine;
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
