// Tests of the choice of engines by table group, and of the separation of loads and readers.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(Affinity, GroupReturnsToTheEngineThatServedIt) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1), engine(2)});
  s.at(1, {query(1, 7)});
  ASSERT_EQ(s.sends().size(), 1u);
  const auto preferred = s.sends()[0].engine;
  // The score of the preferred engine is 1/20, that of the others at least 1 - 0.4.
  for (RequestId id = 2; id < 8; ++id) {
    s.at(static_cast<Time>(id), {query(id, 7)});
    ASSERT_EQ(s.sends().size(), 1u);
    EXPECT_EQ(s.sends()[0].engine, preferred);
  }
}

TEST(Affinity, OtherGroupsAvoidAnEngineThatServesOneGroup) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1, 7)});
  const auto preferred = s.sends()[0].engine;
  // The engine of the other group scores sqrt(2) + 1/20, the empty one at most 1 + 0.4.
  for (std::uint64_t group = 20; group < 26; ++group) {
    Script t(basic_settings());
    t.list(0, {engine(0), engine(1)});
    t.at(1, {query(1, 7)});
    t.at(2, {query(2, group)});
    EXPECT_NE(t.sends()[0].engine, preferred);
  }
}

TEST(Affinity, HighLoadOutweighsAffinity) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 100;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  std::vector<EngineId> where;
  for (RequestId id = 1; id <= 40; ++id) {
    s.at(static_cast<Time>(id), {query(id, 7)});
    where.push_back(s.sends()[0].engine);
  }
  // The distance to an empty engine is 1 and the hash-based score at most 0.4: 28 queries at 1/20 each
  // outweigh both.
  EXPECT_EQ(where[5], where[0]);
  const auto moved = std::find_if(where.begin(), where.end(), [&](auto e) { return e != where[0]; });
  ASSERT_NE(moved, where.end());
  EXPECT_GE(moved - where.begin(), 12);
  EXPECT_LE(moved - where.begin(), 29);
}

TEST(Affinity, TiesDoNotDependOnTheOrderOfTheList) {
  Script a(basic_settings()), b(basic_settings());
  a.list(0, {engine(0), engine(1), engine(2)});
  auto first = engine(0), second = engine(1), third = engine(2);
  std::swap(first.name, third.name);
  b.list(0, {first, second, third});
  a.at(1, {query(1, 5)});
  b.at(1, {query(1, 5)});
  const auto name = [](EngineId id, bool swapped) { return swapped ? (id == 1 ? 1u : 2u - id) : id; };
  EXPECT_EQ(name(a.sends()[0].engine, false), name(b.sends()[0].engine, true));
}

TEST(TableLoads, ReaderBlockedByALoadIsRetriedOnAnotherEngine) {
  auto settings = basic_settings();
  settings.classes[0].waits_for_loads = true;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1, 7)});
  const auto preferred = s.sends()[0].engine;
  s.at(2, {AttemptUpdate{1, 0, preferred, AttemptUpdateKind::kWaitingForLoad, 2}});
  ASSERT_EQ(s.all<Cancel>().size(), 1u);
  s.at(3, {ended(1, 0, preferred, Outcome::kCancelled)});
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_NE(s.sends()[0].engine, preferred);
  s.at(4, {query(2, 7)});  // The locked group is remembered.
  EXPECT_NE(s.sends()[0].engine, preferred);
}

TEST(TableLoads, RunOnEnginesWithoutReadersOfTheirGroup) {
  for (std::uint64_t group = 0; group < 12; ++group) {
    auto settings = basic_settings();
    settings.classes.push_back(settings.classes[0]);
    settings.classes[1].is_load = true;
    Script s(settings);
    s.list(0, {engine(0), engine(1)});
    s.at(1, {query(1, group)});
    const auto preferred = s.sends()[0].engine;
    s.at(2, {ended(1, 0, preferred, Outcome::kServed)});
    auto load = query(2, group);
    load.class_index = 1;
    s.at(3, {load});
    EXPECT_NE(s.sends()[0].engine, preferred);
  }
}

TEST(Affinity, InstancesAgreeOnPreferredEnginesWithoutCommunication) {
  std::map<EngineId, int> preferred_engines;
  for (std::uint32_t i = 0; i < 60; ++i) {
    Script s(instance_settings(100, i));
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(20)}});
    // Each instance has served other groups before.
    for (RequestId id = 1; id <= 4; ++id) {
      s.at(static_cast<Time>(id), {query(id, 1000 + 7 * i + id)});
      s.at(static_cast<Time>(id), {ended(id, 0, s.sends().at(0).engine, Outcome::kServed)});
    }
    s.at(10, {query(5, 7)});
    ++preferred_engines[s.sends().at(0).engine];
  }
  // The group is a fifth of each instance's traffic: four of twenty engines are planned for it.
  std::vector<int> most;
  for (const auto& [id, n] : preferred_engines) most.push_back(n);
  std::sort(most.rbegin(), most.rend());
  most.resize(6);
  EXPECT_GE(std::accumulate(most.begin(), most.end(), 0), 45);
}

// Returns the sends per engine of 100 instances with `each` queries each, which get their responses at once.
std::map<EngineId, int> first_sends_by_engine(bool loads, int each, std::uint64_t groups) {
  std::map<EngineId, int> at;
  for (std::uint32_t i = 0; i < 100; ++i) {
    auto settings = instance_settings(100, i);
    settings.classes[0].is_load = loads;
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    for (int k = 0; k < each; ++k) {
      const RequestId id = i * 1000 + static_cast<RequestId>(k) + 1;
      auto q = query(id, id * 40503 / 7 % groups);
      q.deadline = k * 300'000 + 20 * kSecond;
      s.at(k * 300'000, {q});
      for (const auto& one : s.sends()) {
        ++at[one.engine];
        s.at(k * 300'000 + 100'000, {ended(one.request, 0, one.engine, Outcome::kServed)});
      }
    }
  }
  return at;
}

TEST(Affinity, FewPopularGroupsAreSpreadEvenlyOverAllEngines) {
  const auto at = first_sends_by_engine(false, 60, 9);
  ASSERT_EQ(at.size(), 30u);
  for (const auto& [engine, n] : at) {
    EXPECT_GT(n, 110) << engine;  // An even spread is 200 each.
    EXPECT_LT(n, 300) << engine;
  }
}

TEST(Affinity, LoadsOfOneGroupAreSpreadOverEngines) {
  const auto at = first_sends_by_engine(true, 6, 1);
  ASSERT_GE(at.size(), 25u);
  for (const auto& [engine, n] : at) EXPECT_LT(n, 60) << engine;  // An even spread is 20 each.
}

// Fills the aggregate limit with queries of unrelated groups, and returns those that run.
std::vector<Send> fill_aggregate_limit(Script& s, Time now) {
  std::vector<Event> burst;
  for (RequestId id = 1000; id < 1100; ++id) burst.push_back(query(id, id));
  s.at(now, burst);
  auto running = s.sends();
  // The clients of all other queries disconnect.
  std::vector<Event> disconnects;
  for (RequestId id = 1000; id < 1100; ++id) {
    const auto runs = [id](const Send& one) { return one.request == id; };
    if (std::none_of(running.begin(), running.end(), runs)) disconnects.push_back(ClientDisconnected{id});
  }
  s.at(now + 1, disconnects);
  return running;
}

TEST(Affinity, QueuedRequestsDoNotDriveTheirGroupToOtherEngines) {
  int on_preferred = 0;
  for (std::uint64_t group = 1; group <= 8; ++group) {
    Script s(instance_settings(147));
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(40)}});
    const auto running = fill_aggregate_limit(s, 1);
    s.at(200'003, {query(1, group), query(2, group), query(3, group)});
    ASSERT_EQ(s.sends().size(), 0u);
    std::map<EngineId, int> preferred_engines;
    Time now = 200'004;
    for (const auto& one : running) {
      s.at(++now, {ended(one.request, 0, one.engine, Outcome::kServed)});
      while (!s.sends().empty()) {
        const auto sent = s.sends()[0];
        ++preferred_engines[sent.engine];
        s.at(++now, {ended(sent.request, 0, sent.engine, Outcome::kServed)});
      }
    }
    int most = 0;
    for (const auto& [id, n] : preferred_engines) most = std::max(most, n);
    on_preferred += most;
  }
  EXPECT_GE(on_preferred, 20);  // Of 24.
}

TEST(Affinity, CrossZoneCostKeepsRequestsInTheZone) {
  auto settings = instance_settings(100);
  settings.cross_zone_cost = 1;
  Script s(settings);
  auto all = fleet(10);
  for (auto& e : all) e.zone = e.id < 5 ? 0 : 1;
  s.at(0, {EngineList{EngineListKind::kSnapshot, all}});
  for (RequestId id = 1; id <= 8; ++id) {
    s.at(static_cast<Time>(id), {query(id, id)});
    EXPECT_LT(s.sends().at(0).engine, 5u);
    s.at(static_cast<Time>(id), {ended(id, 0, s.sends().at(0).engine, Outcome::kServed)});
  }
}

}  // namespace
}  // namespace rookproxy::routing
