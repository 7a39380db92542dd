// Which engines are home to which group of tables, in a fleet of many gateways that share nothing.
//
// A group that many read needs several engines, and few gateways see enough to find that out: all of them
// sent it to the one home that they agree on by hash. So each gateway plans homes for its own traffic such
// that every engine gets as much of it as its capacity says. Then the sum over all gateways is even as well,
// however far their pictures of the traffic lie apart; and as pairs of group and engine are taken in the
// order of their hash, the same everywhere, the plans agree on nearly all homes.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

constexpr EngineId kNoPreferredEngine = std::numeric_limits<EngineId>::max();

class Placement {
 public:
  struct EngineCapacity {
    EngineId engine = 0;
    std::uint64_t hash = 0;  // of the engine's name
    double capacity = 0;     // against the other engines, from 0 up
  };
  // Counts what a group's query asks for; older ones count less and less.
  void record_demand(std::uint64_t group, double work, Time now);
  bool is_planned(std::uint64_t group) const { return assignments_.contains(group); }
  bool plan_expired(Time now) const { return now - planned_at_ >= kPlanInterval; }
  // Not in the plan, and it may be made anew for that: names that clients invent must not cost a plan each.
  bool needs_plan(std::uint64_t group, Time now) const {
    return !is_planned(group) &&
           (assignments_.size() < kAlwaysPlannedGroups || now - planned_at_ >= kPlanInterval / 10);
  }
  void plan(const std::vector<EngineCapacity>& rooms, Time now);
  // The home of one of the group's queries: engines by their planned parts, `draw` from 0 to 1.
  EngineId select_engine(std::uint64_t group, double draw) const;
  // The share of the engine's planned work that is the group's.
  double planned_share(EngineId engine, std::uint64_t group) const;

 private:
  static constexpr Time kPlanInterval = 1'000'000;
  static constexpr std::size_t kAlwaysPlannedGroups = 16;
  struct Assignment {
    EngineId engine = 0;
    double share_of_engine = 0, share_of_group = 0;  // of the engine's work; of the group's
  };
  Time planned_at_ = -kPlanInterval;
  std::map<std::uint64_t, std::pair<double, Time>> demand_;
  std::map<std::uint64_t, std::vector<Assignment>> assignments_;
};

}  // namespace rookproxy::routing
