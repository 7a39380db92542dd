// What is learnt of work and memory. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(MemoryGrants, RiseWithSpills) {
  auto settings = basic_settings();
  settings.memory_grants_supported = true;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  auto arrived = query(1);
  arrived.memory_mb = 100;
  router.handle(1, {arrived});
  const double before = router.actions_of<SetExecutionOptions>().at(0).memory_mb.value();
  router.handle(2, {AttemptUpdate{1, 0, 0, AttemptUpdateKind::kSpilling, 30},
                    AttemptUpdate{1, 0, 0, AttemptUpdateKind::kSpilling, 30}});
  arrived.id = 2;
  router.handle(3, {arrived});
  EXPECT_NEAR(router.actions_of<SetExecutionOptions>().at(0).memory_mb.value(), before * 1.05, 1e-6);
}

TEST(MemoryGrants, FallSoonWhereNothingSpills) {
  // What is granted beyond the need keeps others off the engine: that costs more than a spill now and then.
  auto settings = basic_settings();
  settings.memory_grants_supported = true;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  double granted = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    RequestArrived one = query(id);
    one.memory_mb = 1000;
    router.handle(static_cast<Time>(id) * 1000, {one});
    ASSERT_EQ(router.actions_of<SetExecutionOptions>().size(), 1u);
    granted = router.actions_of<SetExecutionOptions>()[0].memory_mb.value_or(0);
    router.handle(static_cast<Time>(id) * 1000 + 1, {ended(id, 0, 0, Outcome::kServed)});
  }
  EXPECT_GE(granted, 1000);
  EXPECT_LT(granted, 1010);
}

TEST(WorkEstimates, WithoutEstimatesOrCostsLatenciesAreUsed) {
  auto settings = basic_settings();
  settings.classes[0].latency_objective = kSecond;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  Time now = 1;
  for (RequestId id = 1; id <= 200; ++id, now += 5 * kSecond) {
    auto arrived = query(id, 7);
    arrived.work.reset();
    arrived.deadline = now + 60 * kSecond;
    router.handle(now, {arrived});
    auto end = ended(id, 0, 0, Outcome::kServed);
    end.latency = 4 * kSecond;
    router.advance(now + 20'000, now + 4 * kSecond);
    router.handle(now + 4 * kSecond, {end});
    router.advance(now + 4 * kSecond + 20'000, now + 5 * kSecond - 20'000);
  }
  auto hopeless = query(1000, 7);
  hopeless.work.reset();
  hopeless.deadline = now + kSecond;
  router.handle(now, {hopeless});
  EXPECT_EQ(router.sends().size(), 0u);
  EXPECT_EQ(router.actions_of<Reject>().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
