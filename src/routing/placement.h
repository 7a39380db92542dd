// Placement: which engines are preferred for which group of tables, in a fleet of many instances that share
// nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <tuple>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/decaying_counter.h"
#include "routing/request.h"

namespace rookproxy::routing {

// Stands for: no engine is preferred.
constexpr EngineId kNoPreferredEngine = std::numeric_limits<EngineId>::max();

// Plans preferred engines for table groups.
//
// A group that many read needs several engines, and few instances see enough to find that out: all of them
// sent it to the one engine that they agree on by hash. So each instance plans engines for its own traffic
// such that every engine gets as much of it as its capacity says. Then the sum over all instances is even as
// well, however far their pictures of the traffic lie apart; and as pairs of group and engine are taken in
// the order of their hash, the same everywhere, the plans agree on nearly all engines. Used by one thread at
// a time.
class Placement {
 public:
  // What the plan has to know of an engine.
  struct EngineCapacity {
    EngineId engine = 0;
    std::uint64_t hash = 0;  // of the engine's name
    double capacity = 0;     // against the other engines, from 0 up
  };
  // Counts the work that a query of the group takes; older queries count less and less.
  void record_demand(std::uint64_t group, double work, Time now);
  // Whether the group is in the plan.
  [[nodiscard]] bool is_planned(std::uint64_t group) const { return assignments_.contains(group); }
  // Whether the plan is so old that it is to be made anew.
  [[nodiscard]] bool plan_expired(Time now) const;
  // Whether the group is not in the plan, and the plan may be made anew for it: names that clients invent
  // must not cost a plan each.
  [[nodiscard]] bool needs_plan(std::uint64_t group, Time now) const;
  // Makes the plan anew.
  void plan(const std::vector<EngineCapacity>& engines, Time now);
  // The preferred engine of one of the group's queries: engines by their planned shares, `draw` from 0 to 1.
  [[nodiscard]] EngineId select_engine(std::uint64_t group, double draw) const;
  // The share of the engine's planned work that is the group's.
  [[nodiscard]] double planned_share(EngineId engine, std::uint64_t group) const;

 private:
  // A group's part of an engine.
  struct Assignment {
    EngineId engine = 0;
    double share_of_engine = 0;  // of its planned work
    double share_of_group = 0;   // of the group's work
  };
  // A group and its recent work.
  struct GroupDemand {
    double work = 0;
    std::uint64_t group = 0;
    bool operator<(const GroupDemand& other) const {
      return std::tie(work, group) < std::tie(other.work, other.group);
    }
  };
  // A group and an engine, by their place in the lists that are planned.
  struct Pair {
    std::uint64_t hash = 0;
    std::size_t group = 0;
    std::size_t engine = 0;
    bool operator<(const Pair& other) const {
      return std::tie(hash, group, engine) < std::tie(other.hash, other.group, other.engine);
    }
  };
  // The groups with most demand, the most first. Forgets the demand of the others.
  [[nodiscard]] std::vector<GroupDemand> groups_to_plan(Time now);

  Time planned_at_ = kLongAgo;
  std::map<std::uint64_t, DecayingCounter> demand_;
  std::map<std::uint64_t, std::vector<Assignment>> assignments_;
};

}  // namespace rookproxy::routing
