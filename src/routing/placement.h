// Placement: which engines each instance prefers for which table group, without communication between
// instances.
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

// Means that no engine is preferred.
constexpr EngineId kNoPreferredEngine = std::numeric_limits<EngineId>::max();

// Plans preferred engines for table groups.
//
// Each instance plans engines for its own traffic, such that every engine gets a part of it in proportion to
// its capacity. The sum over all instances is then even as well, however much their views of the traffic
// differ. Pairs of group and engine are assigned in the order of their hash, which is the same everywhere, so
// the plans agree on nearly all engines. A single engine chosen by hash would be overloaded by a popular
// group. Used by one thread at a time.
class Placement {
 public:
  // An engine as an input of the plan.
  struct EngineCapacity {
    EngineId engine = 0;
    // Hash of the engine's name.
    std::uint64_t hash = 0;
    // Capacity relative to the other engines, at least 0.
    double capacity = 0;
  };
  // Adds the work of a query to the demand of its group, which decays with time.
  void record_demand(std::uint64_t group, double work, Time now);
  // Returns whether the group is in the plan.
  [[nodiscard]] bool is_planned(std::uint64_t group) const { return assignments_.contains(group); }
  // Returns whether the plan is due to be recomputed.
  [[nodiscard]] bool plan_expired(Time now) const;
  // Returns whether the group is missing in the plan and the plan may be recomputed for it. The rate is
  // limited, since clients can invent group names.
  [[nodiscard]] bool needs_plan(std::uint64_t group, Time now) const;
  // Recomputes the plan.
  void plan(const std::vector<EngineCapacity>& engines, Time now);
  // Returns the preferred engine for a query of the group. `fraction`, from 0 to 1, selects among the group's
  // engines in proportion to their planned shares.
  [[nodiscard]] EngineId select_engine(std::uint64_t group, double fraction) const;
  // Returns the fraction of the engine's planned work that belongs to the group.
  [[nodiscard]] double planned_share(EngineId engine, std::uint64_t group) const;

 private:
  // The part of an engine that is assigned to a group.
  struct Assignment {
    EngineId engine = 0;
    // Fraction of the engine's planned work.
    double share_of_engine = 0;
    // Fraction of the group's work.
    double share_of_group = 0;
  };
  // A group and the work of its recent queries.
  struct GroupDemand {
    double work = 0;
    std::uint64_t group = 0;
    bool operator<(const GroupDemand& other) const {
      return std::tie(work, group) < std::tie(other.work, other.group);
    }
  };
  // A group and an engine, as indices into the lists being planned.
  struct Pair {
    std::uint64_t hash = 0;
    std::size_t group = 0;
    std::size_t engine = 0;
    bool operator<(const Pair& other) const {
      return std::tie(hash, group, engine) < std::tie(other.hash, other.group, other.engine);
    }
  };
  // Returns the groups with the highest demand in descending order, and drops the demand of all others.
  [[nodiscard]] std::vector<GroupDemand> groups_to_plan(Time now);

  Time planned_at_ = kLongAgo;
  std::map<std::uint64_t, DecayingCounter> demand_;
  std::map<std::uint64_t, std::vector<Assignment>> assignments_;
};

}  // namespace rookproxy::routing
