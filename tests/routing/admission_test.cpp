// Priorities, and which request goes first. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

// Serves 400 queries at once, one after the other, with ids from `first_id` on: the aggregate limit opens.
void open_aggregate_limit(ScriptedRouter& router, RequestId first_id) {
  for (Time now = 1; now < 400; ++now) {
    router.handle(now, {query(first_id + static_cast<RequestId>(now) - 1)});
    router.serve_sends(now);
  }
}

TEST(Admission, WorkOfLittleWeightWaitsAtAFullerAggregate) {
  ScriptedRouter router(instance_settings(100));
  router.update_engines(0, engine_entries(30));
  open_aggregate_limit(router, 1);
  std::vector<Event> burst;
  for (RequestId id = 400; id < 409; ++id) burst.emplace_back(query(id));
  router.handle(500, burst);
  ASSERT_EQ(router.sends().size(), 9u);
  router.handle(501, {query(409, 0, 5'000'000)});
  EXPECT_EQ(router.sends().size(), 0u);  // fifty times the work for the same weight
  router.handle(502, {query(410)});
  EXPECT_EQ(router.sends().size(), 1u);
}

// Fills the aggregate limit with two wide queries, which leave most engines idle, and queues thirteen
// queries, of which the last has the least work; the request that is sent once there is capacity.
std::optional<RequestId> first_sent_of_queue(std::uint64_t group) {
  auto settings = instance_settings(100);
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].threads = 8;
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(30));
  auto wide = query(20, 1);
  auto other_wide = query(21, 2);
  wide.class_index = 1;
  other_wide.class_index = 1;
  router.handle(1, {wide, other_wide});
  const auto running = router.sends();
  EXPECT_EQ(running.size(), 2u);
  if (running.size() != 2) return std::nullopt;
  std::vector<Event> waiting;
  for (RequestId id = 1; id <= 12; ++id) waiting.emplace_back(query(id, 50 * group + id));
  waiting.emplace_back(query(13, 50 * group, 80'000));
  router.handle(3, waiting);
  EXPECT_EQ(router.sends().size(), 0u);
  router.handle(4, {ended(running[0], Outcome::kServed)});
  if (router.sends().empty()) return std::nullopt;
  return router.sends()[0].request;
}

TEST(Admission, CapacityGoesToTheBestWeightPerWorkAndNotToTheLowestEngineId) {
  for (std::uint64_t group = 1; group <= 8; ++group) {
    const auto request = first_sent_of_queue(group);
    ASSERT_FALSE(HasFailure());
    ASSERT_TRUE(request.has_value());
    EXPECT_EQ(*request, 13u);
  }
}

TEST(Admission, WorkPastItsObjectiveWaitsForWorkThatCanMeetIt) {
  auto settings = instance_settings(100);
  settings.classes[0].late_weight = 0.2;
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(30));
  open_aggregate_limit(router, 101);
  router.update_engines(500, {});
  router.handle(501, {query(1, 7)});  // no engine until its objective of 10 s has passed
  router.advance(20'001, 10'500'000);
  ASSERT_EQ(router.sends().size() + router.final_responses(), 0u);
  std::vector<Event> batch{EngineList{EngineListKind::kSnapshot, engine_entries(30)}};
  for (RequestId id = 2; id <= 8; ++id) batch.emplace_back(query_at(10 * kSecond, id, id));
  router.handle(10'520'000, batch);
  EXPECT_EQ(router.sends().size(), 7u);  // there would be capacity for another
  for (const auto& send : router.sends()) EXPECT_NE(send.request, 1u);
  router.serve_sends(10'520'001);
  EXPECT_EQ(router.all_sends().back().request, 1u);
}

// A router with a class of one thread and one of three, which has four times its weight.
Settings settings_with_priorities() {
  auto settings = instance_settings(100);
  settings.priorities_supported = true;
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].threads = 3;
  settings.classes[1].priority_weight = 4;
  return settings;
}

// The priority of a query that is sent and served at once.
int priority_of_query(ScriptedRouter& router, Time now, RequestId id, ClassIndex class_index, double work) {
  auto arrived = query_at(now, id, 0, work);
  arrived.class_index = class_index;
  router.handle(now, {arrived});
  const int priority = router.actions_of<SetExecutionOptions>().at(0).priority;
  router.handle(now, {ended(id, 0, router.sends().at(0).engine, Outcome::kServed)});
  return priority;
}

// Sends 40 queries of both classes whose responses come 11 s or more late; the time after that.
Time respond_late(ScriptedRouter& router, Time now, RequestId first_id) {
  for (RequestId i = 0; i < 40; ++i) {
    const RequestId id = first_id + i;
    auto arrived = query_at(now, id, 0, i % 2 == 1 ? 900'000 : 300'000);
    arrived.class_index = static_cast<ClassIndex>(i % 2);
    router.handle(now, {arrived});
    const auto engine = router.sends().at(0).engine;
    router.advance(now + 20'000, now + 11 * kSecond);
    now += 11 * kSecond;
    auto end = ended(id, 0, engine, Outcome::kServed);
    end.latency = 11 * kSecond;
    router.handle(now, {end});
    router.advance(now + 20'000, now + 20 * kSecond);  // a narrow aggregate is idle after a wide query
    now += 20 * kSecond;
  }
  return now;
}

TEST(Admission, WhileResponsesAreLatePriorityGoesByWeightPerWork) {
  ScriptedRouter router(settings_with_priorities());
  router.update_engines(0, engine_entries(30));
  EXPECT_EQ(priority_of_query(router, 1, 1, 0, 900'000), 3);  // by class
  EXPECT_EQ(priority_of_query(router, 2, 2, 1, 300'000), 1);
  const Time now = respond_late(router, 2, 3);
  const int wide = priority_of_query(router, now + 1, 43, 1, 300'000);
  const int narrow = priority_of_query(router, now + 2, 44, 0, 900'000);
  EXPECT_GT(wide, narrow);
}

}  // namespace
}  // namespace rookproxy::routing
