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

#include "lemonshift/router.h"

namespace lemonshift {

constexpr EngineId kNoHome = std::numeric_limits<EngineId>::max();

class Placement {
 public:
  struct Room {
    EngineId engine = 0;
    std::uint64_t hash = 0;  // of the engine's name
    double capacity = 0;     // against the other engines, from 0 up
  };
  // Counts what a group's query asks for; older ones count less and less.
  void ask(std::uint64_t group, double work, Time now);
  bool knows(std::uint64_t group) const { return parts_.contains(group); }
  bool stale(Time now) const { return now - planned_at_ >= kPlanEvery; }
  // Not in the plan, and it may be made anew for that: names that clients invent must not cost a plan each.
  bool lacks(std::uint64_t group, Time now) const {
    return !knows(group) && (parts_.size() < kFewGroups || now - planned_at_ >= kPlanEvery / 10);
  }
  void plan(const std::vector<Room>& rooms, Time now);
  // The home of one of the group's queries: engines by their planned parts, `draw` from 0 to 1.
  EngineId draw(std::uint64_t group, double draw) const;
  // The share of the engine's planned work that is the group's.
  double part(EngineId engine, std::uint64_t group) const;

 private:
  static constexpr Time kPlanEvery = 1'000'000;
  static constexpr std::size_t kFewGroups = 16;
  struct Part {
    EngineId engine = 0;
    double share = 0, of_group = 0;  // of the engine's work; of the group's
  };
  Time planned_at_ = -kPlanEvery;
  std::map<std::uint64_t, std::pair<double, Time>> asked_;
  std::map<std::uint64_t, std::vector<Part>> parts_;
};

}  // namespace lemonshift
