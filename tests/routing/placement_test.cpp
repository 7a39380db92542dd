// Tests of the placement of table groups: traffic is spread evenly, and instances agree on most engines.
#include "routing/placement.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "routing/hash.h"

namespace rookproxy::routing {
namespace {

std::vector<Placement::EngineCapacity> engine_capacities(EngineId n, double capacity = 8) {
  std::vector<Placement::EngineCapacity> all;
  for (EngineId i = 0; i < n; ++i) all.push_back({i, hash_text("engine-" + std::to_string(i)), capacity});
  return all;
}

// Returns the fraction of all traffic that each engine gets, given the groups' shares of the traffic.
std::map<EngineId, double> traffic_by_engine(const Placement& placement,
                                             const std::map<std::uint64_t, double>& shares) {
  std::map<EngineId, double> at;
  constexpr int kDraws = 2000;
  for (const auto& [group, share] : shares) {
    for (int i = 0; i < kDraws; ++i) at[placement.select_engine(group, (i + 0.5) / kDraws)] += share / kDraws;
  }
  return at;
}

TEST(Placement, EnginesGetTrafficInProportionToTheirCapacity) {
  const std::map<std::uint64_t, double> shares = {{7, 0.4}, {8, 0.3}, {9, 0.2}, {10, 0.1}};
  Placement placement;
  for (const auto& [group, share] : shares) placement.record_demand(group, share, 0);
  auto engines = engine_capacities(30);
  engines[3].capacity = 2;  // It has just started.
  placement.plan(engines, 0);
  const auto at = traffic_by_engine(placement, shares);
  ASSERT_EQ(at.size(), 30u);
  for (const auto& [engine, share] : at)
    EXPECT_NEAR(share, engine == 3 ? 2 / 234.0 : 8 / 234.0, 0.004) << engine;
  for (const auto& engine_capacity : engines) {
    double planned_sum = 0;
    for (const auto& [group, share] : shares)
      planned_sum += placement.planned_share(engine_capacity.engine, group);
    EXPECT_NEAR(planned_sum, 1, 1e-9);
  }
}

TEST(Placement, InstancesWithDifferentTrafficAgreeOnMostEngines) {
  double same = 0, all = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Placement one, other;
    for (std::uint64_t group = 0; group < 9; ++group) {
      const auto demand_of = [&](std::uint64_t instance) {
        return 0.08 + 0.06 * unit_interval(mix(seed * 100 + group * 2 + instance));
      };
      one.record_demand(group, demand_of(0), 0), other.record_demand(group, demand_of(1), 0);
    }
    one.plan(engine_capacities(30), 0), other.plan(engine_capacities(30), 0);
    for (std::uint64_t group = 0; group < 9; ++group) {
      for (int i = 0; i < 100; ++i) {
        const auto preferred = one.select_engine(group, (i + 0.5) / 100);
        same += other.planned_share(preferred, group) > 0.25, ++all;
      }
    }
  }
  EXPECT_GT(same / all, 0.75);
}

TEST(Placement, GroupsWithoutRequestsReleaseTheirEngines) {
  Placement placement;
  placement.record_demand(1, 100, 0), placement.record_demand(2, 100, 0);
  placement.plan(engine_capacities(10), 0);
  const auto engines_of = [&](std::uint64_t group) {
    int n = 0;
    for (EngineId e = 0; e < 10; ++e) n += placement.planned_share(e, group) > 0.5;
    return n;
  };
  EXPECT_EQ(engines_of(1), 5);
  placement.record_demand(1, 100, 60'000'000);
  placement.plan(engine_capacities(10), 60'000'000);
  EXPECT_EQ(engines_of(1), 10);
}

TEST(Placement, EmptyInputsAndManyGroupsAreHandled) {
  Placement placement;
  placement.plan({}, 0);
  EXPECT_EQ(placement.select_engine(1, 0.5), kNoPreferredEngine);
  placement.record_demand(1, 1, 0);
  placement.plan({}, 0);
  placement.plan(engine_capacities(3, 0), 0);  // No engine has any capacity.
  EXPECT_FALSE(placement.is_planned(1));
  EXPECT_EQ(placement.select_engine(1, 0.5), kNoPreferredEngine);
  for (std::uint64_t group = 0; group < 100'000; ++group) {
    placement.record_demand(group, 1 + static_cast<double>(group == 77), static_cast<Time>(group));
    if (placement.plan_expired(static_cast<Time>(group)))
      placement.plan(engine_capacities(3), static_cast<Time>(group));
  }
  placement.plan(engine_capacities(3), 100'000);
  int known = 0;
  for (std::uint64_t group = 0; group < 100'000; ++group) known += placement.is_planned(group);
  EXPECT_EQ(known, 256);  // The memory is bounded, whatever groups clients name.
  EXPECT_TRUE(placement.is_planned(77));
}

}  // namespace
}  // namespace rookproxy::routing
