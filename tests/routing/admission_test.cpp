// Tests of priorities and of the order of requests.
#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(Admission, LowWeightWorkWaitsWhenTheAggregateLimitIsNearlyReached) {
  Script s(instance_settings(100));
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
  RequestId id = 0;
  for (Time t = 1; t < 400; ++t) {
    s.at(t, {query(++id)});
    for (const auto& one : s.sends()) s.at(t, {ended(one.request, 0, one.engine, Outcome::kServed)});
  }
  std::vector<Event> burst;
  for (int i = 0; i < 9; ++i) burst.push_back(query(++id));
  s.at(500, burst);
  ASSERT_EQ(s.sends().size(), 9u);
  s.at(501, {query(++id, 0, 5'000'000)});
  EXPECT_EQ(s.sends().size(), 0u);  // 50 times the work for the same weight.
  s.at(502, {query(++id)});
  EXPECT_EQ(s.sends().size(), 1u);
}

TEST(Admission, FreeCapacityGoesToTheHighestRankNotTheLowestEngineId) {
  auto settings = instance_settings(100);
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].threads = 8;  // Two of them fill the aggregate limit and leave the other engines idle.
  for (std::uint64_t group = 1; group <= 8; ++group) {
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    auto multi_threaded = query(20, 1), other = query(21, 2);
    multi_threaded.class_index = other.class_index = 1;
    s.at(1, {multi_threaded, other});
    const auto running = s.sends();
    ASSERT_EQ(running.size(), 2u);
    std::vector<Event> waiting;
    for (RequestId id = 1; id <= 12; ++id) waiting.push_back(query(id, 50 * group + id));
    waiting.push_back(query(13, 50 * group, 80'000));  // It has more weight per work than the other twelve.
    s.at(3, waiting);
    ASSERT_EQ(s.sends().size(), 0u);
    s.at(4, {ended(running[0].request, 0, running[0].engine, Outcome::kServed)});
    ASSERT_FALSE(s.sends().empty());
    EXPECT_EQ(s.sends()[0].request, 13u);
  }
}

TEST(Admission, LateWorkYieldsToWorkThatCanMeetItsObjective) {
  auto settings = instance_settings(100);
  settings.classes[0].late_weight = 0.2;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
  RequestId id = 100;
  for (Time t = 1; t < 400; ++t) {
    s.at(t, {query(++id)});
    for (const auto& one : s.sends()) s.at(t, {ended(one.request, 0, one.engine, Outcome::kServed)});
  }
  s.at(500, {EngineList{EngineListKind::kSnapshot, {}}});
  s.at(501, {query(1, 7)});  // There is no engine until its objective of 10 s has passed.
  s.wait(20'001, 10'500'000);
  ASSERT_EQ(s.sends().size() + s.final_responses(), 0u);
  std::vector<Event> batch{EngineList{EngineListKind::kSnapshot, fleet(30)}};
  for (RequestId fresh = 2; fresh <= 8; ++fresh) {
    auto q = query(fresh, fresh);
    q.deadline = 30 * kSecond;
    batch.push_back(q);
  }
  s.at(10'520'000, batch);
  EXPECT_EQ(s.sends().size(), 7u);  // There is capacity for another one.
  for (const auto& one : s.sends()) EXPECT_NE(one.request, 1u);
  const auto fresh = s.sends();
  for (const auto& one : fresh) s.at(10'520'001, {ended(one.request, 0, one.engine, Outcome::kServed)});
  EXPECT_EQ(s.all_sends.back().request, 1u);
}

TEST(Admission, WhileResponsesAreLatePriorityFollowsWeightPerWork) {
  auto settings = instance_settings(100);
  settings.priorities_supported = true;
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].threads = 3;
  settings.classes[1].priority_weight = 4;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
  RequestId id = 0;
  const auto priority = [&](Time now, ClassIndex cls, double work) {
    auto q = query(++id, 0, work);
    q.class_index = cls;
    q.deadline = now + 20 * kSecond;
    s.at(now, {q});
    const int level = s.all<SetExecutionOptions>().at(0).priority;
    s.at(now, {ended(id, 0, s.sends().at(0).engine, Outcome::kServed)});
    return level;
  };
  EXPECT_EQ(priority(1, 0, 900'000), 3);  // By class.
  EXPECT_EQ(priority(2, 1, 300'000), 1);
  Time now = 2;
  // All responses are late, which lowers the aggregate limit.
  for (int i = 0; i < 40; ++i) {
    auto q = query(++id, 0, i % 2 ? 900'000 : 300'000);
    q.class_index = i % 2;
    q.deadline = now + 20 * kSecond;
    s.at(now, {q});
    const auto at = s.sends().at(0).engine;
    s.wait(now + 20'000, now + 11 * kSecond);
    auto e = ended(id, 0, at, Outcome::kServed);
    e.latency = 11 * kSecond;
    s.at(now += 11 * kSecond, {e});
    s.wait(now + 20'000, now + 20 * kSecond);  // The mean usage falls again.
    now += 20 * kSecond;
  }
  EXPECT_GT(priority(now + 1, 1, 300'000), priority(now + 2, 0, 900'000));
}

}  // namespace
}  // namespace rookproxy::routing
