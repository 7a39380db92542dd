// Decides the homes of groups; see placement.h.
#include "routing/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "routing/hash.h"

namespace rookproxy::routing {
namespace {
constexpr double kSpan = 10'000'000;      // of a group's traffic by which it is planned
constexpr std::size_t kMostGroups = 256;  // planned; the rest, least asked for, have the hash alone
double faded(const std::pair<double, Time>& asked, Time now) {
  return asked.first * std::exp(-static_cast<double>(now - asked.second) / kSpan);
}
}  // namespace

void Placement::record_demand(std::uint64_t group, double work, Time now) {
  if (demand_.size() >= 2 * kMostGroups && !demand_.contains(group)) return;  // until the next plan
  auto& asked = demand_[group];
  asked = {faded(asked, now) + work, now};
}

void Placement::plan(const std::vector<EngineCapacity>& rooms, Time now) {
  planned_at_ = now;
  assignments_.clear();
  std::vector<std::pair<double, std::uint64_t>> groups;
  for (const auto& [group, asked] : demand_) groups.emplace_back(faded(asked, now), group);
  std::sort(groups.rbegin(), groups.rend());
  for (std::size_t i = kMostGroups; i < groups.size(); ++i) demand_.erase(groups[i].second);
  groups.resize(std::min(groups.size(), kMostGroups));
  double asked = 0, capacity = 0;
  for (const auto& one : groups) asked += one.first;
  for (const auto& room : rooms) capacity += room.capacity;
  if (asked <= 0 || capacity <= 0) return;
  std::vector<std::tuple<std::uint64_t, std::size_t, std::size_t>> pairs;
  std::vector<double> wanted, left;
  for (const auto& room : rooms) left.push_back(room.capacity / capacity);
  for (std::size_t g = 0; g < groups.size(); ++g) {
    wanted.push_back(groups[g].first / asked);
    for (std::size_t e = 0; e < rooms.size(); ++e)
      pairs.emplace_back(mix(rooms[e].hash ^ mix(groups[g].second + 1)), g, e);
  }
  std::sort(pairs.begin(), pairs.end());
  for (const auto& [hash, g, e] : pairs) {
    const double taken = std::min(wanted[g], left[e]);
    if (taken <= 0) continue;
    wanted[g] -= taken, left[e] -= taken;
    assignments_[groups[g].second].push_back(
        {rooms[e].engine, taken * capacity / rooms[e].capacity, taken * asked / groups[g].first});
  }
}

EngineId Placement::select_engine(std::uint64_t group, double draw) const {
  const auto found = assignments_.find(group);
  if (found == assignments_.end()) return kNoPreferredEngine;
  for (const auto& part : found->second) {
    if ((draw -= part.share_of_group) < 0) return part.engine;
  }
  return found->second.back().engine;
}

double Placement::planned_share(EngineId engine, std::uint64_t group) const {
  const auto found = assignments_.find(group);
  if (found == assignments_.end()) return 0;
  for (const auto& part : found->second) {
    if (part.engine == engine) return part.share_of_engine;
  }
  return 0;
}

}  // namespace rookproxy::routing
