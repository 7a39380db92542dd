// Placement of table groups: even for each gateway's own traffic, and nearly the same at all.
#include "routing/placement.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "routing/hash.h"

namespace rookproxy::routing {
namespace {

std::vector<Placement::EngineCapacity> rooms(EngineId n, double capacity = 8) {
  std::vector<Placement::EngineCapacity> all;
  for (EngineId i = 0; i < n; ++i) all.push_back({i, hash_text("engine-" + std::to_string(i)), capacity});
  return all;
}

// What of all traffic goes to each engine, by shares of the groups.
std::map<EngineId, double> spread(const Placement& placement, const std::map<std::uint64_t, double>& shares) {
  std::map<EngineId, double> at;
  constexpr int kDraws = 2000;
  for (const auto& [group, share] : shares) {
    for (int i = 0; i < kDraws; ++i) at[placement.select_engine(group, (i + 0.5) / kDraws)] += share / kDraws;
  }
  return at;
}

TEST(Placement, EachEngineGetsWhatItsCapacitySays) {
  const std::map<std::uint64_t, double> shares = {{7, 0.4}, {8, 0.3}, {9, 0.2}, {10, 0.1}};
  Placement placement;
  for (const auto& [group, share] : shares) placement.record_demand(group, share, 0);
  auto some = rooms(30);
  some[3].capacity = 2;  // has just started
  placement.plan(some, 0);
  const auto at = spread(placement, shares);
  ASSERT_EQ(at.size(), 30u);
  for (const auto& [engine, share] : at)
    EXPECT_NEAR(share, engine == 3 ? 2 / 234.0 : 8 / 234.0, 0.004) << engine;
  for (const auto& room : some) {
    double whole = 0;
    for (const auto& [group, share] : shares) whole += placement.planned_share(room.engine, group);
    EXPECT_NEAR(whole, 1, 1e-9);
  }
}

TEST(Placement, PicturesThatDifferAgreeOnNearlyAllHomes) {
  double same = 0, all = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Placement one, other;
    for (std::uint64_t group = 0; group < 9; ++group) {
      const auto of = [&](std::uint64_t who) {
        return 0.08 + 0.06 * unit_interval(mix(seed * 100 + group * 2 + who));
      };
      one.record_demand(group, of(0), 0), other.record_demand(group, of(1), 0);
    }
    one.plan(rooms(30), 0), other.plan(rooms(30), 0);
    for (std::uint64_t group = 0; group < 9; ++group) {
      for (int i = 0; i < 100; ++i) {
        const auto home = one.select_engine(group, (i + 0.5) / 100);
        same += other.planned_share(home, group) > 0.25, ++all;
      }
    }
  }
  EXPECT_GT(same / all, 0.75);
}

TEST(Placement, WhatIsNoLongerAskedForGivesItsRoomBack) {
  Placement placement;
  placement.record_demand(1, 100, 0), placement.record_demand(2, 100, 0);
  placement.plan(rooms(10), 0);
  const auto homes_of = [&](std::uint64_t group) {
    int n = 0;
    for (EngineId e = 0; e < 10; ++e) n += placement.planned_share(e, group) > 0.5;
    return n;
  };
  EXPECT_EQ(homes_of(1), 5);
  placement.record_demand(1, 100, 60'000'000);
  placement.plan(rooms(10), 60'000'000);
  EXPECT_EQ(homes_of(1), 10);
}

TEST(Placement, NothingAskedNoEnginesAndCrowdsOfGroupsAreHarmless) {
  Placement placement;
  placement.plan({}, 0);
  EXPECT_EQ(placement.select_engine(1, 0.5), kNoPreferredEngine);
  placement.record_demand(1, 1, 0);
  placement.plan({}, 0);
  placement.plan(rooms(3, 0), 0);  // no capacity at all
  EXPECT_FALSE(placement.is_planned(1));
  EXPECT_EQ(placement.select_engine(1, 0.5), kNoPreferredEngine);
  for (std::uint64_t group = 0; group < 100'000; ++group) {
    placement.record_demand(group, 1 + static_cast<double>(group == 77), static_cast<Time>(group));
    if (placement.plan_expired(static_cast<Time>(group))) placement.plan(rooms(3), static_cast<Time>(group));
  }
  placement.plan(rooms(3), 100'000);
  int known = 0;
  for (std::uint64_t group = 0; group < 100'000; ++group) known += placement.is_planned(group);
  EXPECT_EQ(known, 256);  // a bound on memory, whatever clients name
  EXPECT_TRUE(placement.is_planned(77));
}

}  // namespace
}  // namespace rookproxy::routing
