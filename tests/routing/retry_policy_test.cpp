// Where and how often a request may be sent again. Each guard has a test that fails when the guard is taken
// out.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(Idempotency, NonIdempotentIsNotRetriedOnceItMayHaveRun) {
  for (const auto outcome :
       {Outcome::kError, Outcome::kConnectionLost, Outcome::kNoResponse, Outcome::kCancelled}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = Idempotency::kNonIdempotent;
    ScriptedRouter router(settings);
    router.update_engines(0, {engine(0), engine(1)});
    router.handle(1, {query(1)});
    router.handle(2, {ended(1, 0, router.sends()[0].engine, outcome)});
    EXPECT_EQ(router.sends().size(), 0u);
    EXPECT_EQ(router.actions_of<Reject>().size(), 0u);
    EXPECT_EQ(router.actions_of<Fail>().size(), 1u);
  }
}

TEST(Idempotency, NonIdempotentThatNeverRanIsRetried) {
  auto settings = basic_settings();
  settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1)});
  router.handle(2, {ended(1, 0, router.sends()[0].engine, Outcome::kRejected)});
  EXPECT_EQ(router.sends().size(), 1u);
}

Settings keyed(IdempotencyScope scope) {
  auto settings = basic_settings();
  settings.classes[0].idempotency = Idempotency::kKeyed;
  settings.classes[0].idempotency_scope = scope;
  settings.classes[0].idempotency_window = 5 * kSecond;
  return settings;
}

TEST(Idempotency, KeyedStaysInItsZoneOrCell) {
  for (const auto scope : {IdempotencyScope::kZone, IdempotencyScope::kCell}) {
    int sent_to_first = 0;
    for (std::uint64_t group = 1; group < 20; ++group) {
      ScriptedRouter router(keyed(scope));
      auto second = engine(1);
      auto third = engine(2);
      (scope == IdempotencyScope::kZone ? second.zone : second.cell) = 1;
      (scope == IdempotencyScope::kZone ? third.zone : third.cell) = 1;
      router.update_engines(0, {engine(0), second, third});
      router.handle(1, {query(1, group)});
      const auto first = router.sends().at(0).engine;
      router.handle(2, {ended(1, 0, first, Outcome::kConnectionLost)});
      EXPECT_EQ(router.actions_of<Reject>().size(), 0u);
      sent_to_first += first == 0;  // no other engine of its scope
      ASSERT_EQ(router.sends().size(), 1u);
      EXPECT_EQ(router.sends()[0].engine == 0, first == 0);
    }
    EXPECT_GT(sent_to_first, 0);
  }
}

TEST(Idempotency, KeyedIsNotRetriedOutsideItsWindow) {
  ScriptedRouter router(keyed(IdempotencyScope::kAll));
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1), query(2)});
  const auto first = router.sends()[0].engine;
  router.handle(5 * kSecond, {ended(1, 0, first, Outcome::kError)});
  EXPECT_EQ(router.sends().size(), 1u);
  router.handle(5 * kSecond + 1, {ended(2, 0, first, Outcome::kError)});
  EXPECT_EQ(router.sends().size(), 0u);
  EXPECT_EQ(router.final_responses(), 1u);
}

TEST(Idempotency, OneAttemptAtATime) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1)});
  router.advance(20'000, 5 * kSecond);
  EXPECT_EQ(router.all_sends().size(), 1u);
}

TEST(AllowedEngines, ClassesKeepToTheirZonesAndMachineTypes) {
  auto settings = basic_settings();
  settings.classes[0].allowed_zones = std::vector<std::uint32_t>{1};
  settings.classes[0].allowed_machine_types = std::vector<std::uint32_t>{1};
  ScriptedRouter router(settings);
  auto other_machine_type = engine(0);
  other_machine_type.zone = 1;
  auto other_zone = engine(1);
  other_zone.machine_type = 1;
  auto allowed = engine(2);
  allowed.zone = 1;
  allowed.machine_type = 1;
  router.update_engines(0, {other_machine_type, other_zone});
  router.handle(1, {query(1, 1), query(2, 2)});
  EXPECT_EQ(router.sends().size(), 0u);
  router.update_engines(2, {allowed}, EngineListKind::kDelta);
  router.advance(20'000, 40'000);
  ASSERT_EQ(router.all_sends().size(), 2u);
  for (const auto& send : router.all_sends()) EXPECT_EQ(send.engine, 2u);
}

TEST(Retries, StayWithinTheBudget) {
  auto settings = basic_settings();
  settings.retry_budget = RetryBudget{2, 0.1, 10 * kSecond};
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 10; ++id) burst.push_back(query(id, id));
  router.handle(1, burst);
  const auto first = router.sends();
  ASSERT_EQ(first.size(), 10u);
  std::size_t extra = 0;
  for (const auto& send : first) {
    router.handle(2, {ended(send, Outcome::kRejected)});
    extra += router.sends().size();
  }
  EXPECT_EQ(extra, 3u);  // 2 + 0.1 x 10
}

TEST(Retries, NoMoreThanAllowed) {
  auto settings = basic_settings();
  settings.max_attempts = 2;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1)});
  router.handle(2, {ended(1, 0, router.sends()[0].engine, Outcome::kRejected)});
  ASSERT_EQ(router.sends().size(), 1u);
  router.handle(3, {ended(1, 1, router.sends()[0].engine, Outcome::kRejected)});
  EXPECT_EQ(router.sends().size(), 0u);
  EXPECT_EQ(router.actions_of<Reject>().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
