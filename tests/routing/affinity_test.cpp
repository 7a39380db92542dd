// Which engine a request goes to by its table group, and how loads of tables keep apart. Each guard has a
// test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(Affinity, GroupReturnsToItsEngine) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0), engine(1), engine(2)});
  router.handle(1, {query(1, 7)});
  ASSERT_EQ(router.sends().size(), 1u);
  const auto preferred = router.sends()[0].engine;
  // Distance 0 + 1/20 at the group's engine against 1 elsewhere: even a tilt of 0.4 does not move it.
  for (RequestId id = 2; id < 8; ++id) {
    router.handle(static_cast<Time>(id), {query(id, 7)});
    ASSERT_EQ(router.sends().size(), 1u);
    EXPECT_EQ(router.sends()[0].engine, preferred);
  }
}

TEST(Affinity, OtherGroupsAvoidAnEngineThatIsFullOfOne) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1, 7)});
  const auto preferred = router.sends()[0].engine;
  // sqrt(2) + 1/20 at the other group's engine against at most 1 + 0.4 at the empty one.
  for (std::uint64_t group = 20; group < 26; ++group) {
    ScriptedRouter t(basic_settings());
    t.update_engines(0, {engine(0), engine(1)});
    t.handle(1, {query(1, 7)});
    t.handle(2, {query(2, group)});
    EXPECT_NE(t.sends()[0].engine, preferred);
  }
}

TEST(Affinity, LoadOverTheFactorOutweighsDistance) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 100;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  std::vector<EngineId> where;
  for (RequestId id = 1; id <= 40; ++id) {
    router.handle(static_cast<Time>(id), {query(id, 7)});
    where.push_back(router.sends()[0].engine);
  }
  // The distance to an empty engine is 1 and the tilt at most 0.4: 28 queries at 1/20 each outweigh both.
  EXPECT_EQ(where[5], where[0]);
  const auto moved = std::find_if(where.begin(), where.end(), [&](auto e) {
    return e != where[0];
  });
  ASSERT_NE(moved, where.end());
  EXPECT_GE(moved - where.begin(), 12);
  EXPECT_LE(moved - where.begin(), 29);
}

TEST(Affinity, TiesDoNotDependOnTheOrderOfTheList) {
  ScriptedRouter router(basic_settings());
  ScriptedRouter swapped_router(basic_settings());
  router.update_engines(0, {engine(0), engine(1), engine(2)});
  auto first = engine(0);
  auto third = engine(2);
  std::swap(first.name, third.name);
  swapped_router.update_engines(0, {first, engine(1), third});
  router.handle(1, {query(1, 5)});
  swapped_router.handle(1, {query(1, 5)});
  const auto unswapped = [](EngineId id) {
    return id == 1 ? 1u : 2u - id;
  };
  EXPECT_EQ(router.sends()[0].engine, unswapped(swapped_router.sends()[0].engine));
}

TEST(TableLoads, AReaderThatWaitsBehindOneIsRetriedElsewhere) {
  auto settings = basic_settings();
  settings.classes[0].waits_for_loads = true;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1, 7)});
  const auto preferred = router.sends()[0].engine;
  router.handle(2, {AttemptUpdate{1, 0, preferred, AttemptUpdateKind::kWaitingForLoad, 2}});
  ASSERT_EQ(router.actions_of<Cancel>().size(), 1u);
  router.handle(3, {ended(1, 0, preferred, Outcome::kCancelled)});
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_NE(router.sends()[0].engine, preferred);
  router.handle(4, {query(2, 7)});  // that the group waits for a load is remembered
  EXPECT_NE(router.sends()[0].engine, preferred);
}

TEST(TableLoads, GoWhereTheirGroupsReadersAreNot) {
  for (std::uint64_t group = 0; group < 12; ++group) {
    auto settings = basic_settings();
    settings.classes.push_back(settings.classes[0]);
    settings.classes[1].is_load = true;
    ScriptedRouter router(settings);
    router.update_engines(0, {engine(0), engine(1)});
    router.handle(1, {query(1, group)});
    const auto preferred = router.sends()[0].engine;
    router.handle(2, {ended(1, 0, preferred, Outcome::kServed)});
    auto load = query(2, group);
    load.class_index = 1;
    router.handle(3, {load});
    EXPECT_NE(router.sends()[0].engine, preferred);
  }
}

TEST(Affinity, InstancesAgreeOnPreferredEnginesWithoutTalking) {
  std::map<EngineId, int> preferred_engines;
  for (std::uint32_t i = 0; i < 60; ++i) {
    ScriptedRouter router(instance_settings(100, i));
    router.update_engines(0, engine_entries(20));
    for (RequestId id = 1; id <= 4; ++id) {  // each has another past
      router.handle(static_cast<Time>(id), {query(id, 1000 + 7 * i + id)});
      router.handle(static_cast<Time>(id), {ended(id, 0, router.sends().at(0).engine, Outcome::kServed)});
    }
    router.handle(10, {query(5, 7)});
    ++preferred_engines[router.sends().at(0).engine];
  }
  std::vector<int> most;  // a fifth of each instance's traffic: four of twenty engines are preferred
  for (const auto& [id, n] : preferred_engines) most.push_back(n);
  std::sort(most.rbegin(), most.rend());
  most.resize(6);
  EXPECT_GE(std::accumulate(most.begin(), most.end(), 0), 45);
}

// First sends of 100 instances by engine; each instance has so many queries, which are served at once.
std::map<EngineId, int> first_sends_by_engine(bool loads, int queries, std::uint64_t groups) {
  std::map<EngineId, int> at;
  for (std::uint32_t i = 0; i < 100; ++i) {
    auto settings = instance_settings(100, i);
    settings.classes[0].is_load = loads;
    ScriptedRouter router(settings);
    router.update_engines(0, engine_entries(30));
    for (int k = 0; k < queries; ++k) {
      const RequestId id = i * 1000 + static_cast<RequestId>(k) + 1;
      auto arrived = query(id, id * 40503 / 7 % groups);
      arrived.deadline = k * 300'000 + 20 * kSecond;
      router.handle(k * 300'000, {arrived});
      for (const auto& one : router.sends()) {
        ++at[one.engine];
        router.handle(k * 300'000 + 100'000, {ended(one, Outcome::kServed)});
      }
    }
  }
  return at;
}

TEST(Affinity, FewPopularGroupsStillFillAllEnginesEvenly) {
  const auto at = first_sends_by_engine(false, 60, 9);
  ASSERT_EQ(at.size(), 30u);  // was 9, with up to 858 each
  for (const auto& [engine, n] : at) {
    EXPECT_GT(n, 110) << engine;  // 200 each if all were even
    EXPECT_LT(n, 300) << engine;
  }
}

TEST(Affinity, LoadsOfOneGroupDoNotAllMeetAtOneEngine) {
  const auto at = first_sends_by_engine(true, 6, 1);
  ASSERT_GE(at.size(), 25u);
  for (const auto& [engine, n] : at) EXPECT_LT(n, 60) << engine;  // 20 each if all were even
}

// Fills the aggregate limit with queries of unrelated groups; those that run.
std::vector<Send> fill_aggregate_limit(ScriptedRouter& router, Time now) {
  std::vector<Event> burst;
  for (RequestId id = 1000; id < 1100; ++id) burst.push_back(query(id, id));
  router.handle(now, burst);
  auto running = router.sends();
  std::vector<Event> disconnects;  // of the others: only what runs counts towards the limit
  for (RequestId id = 1000; id < 1100; ++id) {
    const auto runs = [id](const Send& one) {
      return one.request == id;
    };
    if (std::none_of(running.begin(), running.end(), runs)) disconnects.push_back(ClientDisconnected{id});
  }
  router.handle(now + 1, disconnects);
  return running;
}

TEST(Affinity, QueuedRequestsDoNotMoveTheirGroupElsewhere) {
  int at_preferred = 0;
  for (std::uint64_t group = 1; group <= 8; ++group) {
    ScriptedRouter router(instance_settings(147));
    router.update_engines(0, engine_entries(40));
    const auto running = fill_aggregate_limit(router, 1);
    router.handle(200'003, {query(1, group), query(2, group), query(3, group)});
    ASSERT_EQ(router.sends().size(), 0u);
    std::map<EngineId, int> preferred_engines;
    Time now = 200'004;
    for (const auto& one : running) {
      router.handle(++now, {ended(one, Outcome::kServed)});
      while (!router.sends().empty()) {
        const auto sent = router.sends()[0];
        ++preferred_engines[sent.engine];
        router.handle(++now, {ended(sent, Outcome::kServed)});
      }
    }
    int most = 0;
    for (const auto& [id, n] : preferred_engines) most = std::max(most, n);
    at_preferred += most;
  }
  EXPECT_GE(at_preferred, 20);  // of 24
}

TEST(Affinity, AZoneThatCostsIsUsedLess) {
  auto settings = instance_settings(100);
  settings.cross_zone_cost = 1;
  ScriptedRouter router(settings);
  auto all = engine_entries(10);
  for (auto& e : all) e.zone = e.id < 5 ? 0 : 1;
  router.update_engines(0, all);
  for (RequestId id = 1; id <= 8; ++id) {
    router.handle(static_cast<Time>(id), {query(id, id)});
    EXPECT_LT(router.sends().at(0).engine, 5u);
    router.handle(static_cast<Time>(id), {ended(id, 0, router.sends().at(0).engine, Outcome::kServed)});
  }
}

}  // namespace
}  // namespace rookproxy::routing
