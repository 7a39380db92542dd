// Tests of the estimates of work and memory.
#include <gtest/gtest.h>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(MemoryGrants, SpillRaisesTheGrant) {
  auto settings = basic_settings();
  settings.memory_grants_supported = true;
  Script s(settings);
  s.list(0, {engine(0)});
  auto q = query(1);
  q.memory_mb = 100;
  s.at(1, {q});
  const double before = s.all<SetExecutionOptions>().at(0).memory_mb.value();
  s.at(2, {AttemptUpdate{1, 0, 0, AttemptUpdateKind::kSpilling, 30},
           AttemptUpdate{1, 0, 0, AttemptUpdateKind::kSpilling, 30}});
  q.id = 2;
  s.at(3, {q});
  EXPECT_NEAR(s.all<SetExecutionOptions>().at(0).memory_mb.value(), before * 1.05, 1e-6);
}

TEST(MemoryGrants, GrantFallsToTheEstimateWithoutSpills) {
  // Memory granted beyond the need keeps other queries off the engine.
  auto settings = basic_settings();
  settings.memory_grants_supported = true;
  Script s(settings);
  s.list(0, {engine(0)});
  double granted = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    RequestArrived one = query(id);
    one.memory_mb = 1000;
    s.at(static_cast<Time>(id) * 1000, {one});
    ASSERT_EQ(s.all<SetExecutionOptions>().size(), 1u);
    granted = s.all<SetExecutionOptions>()[0].memory_mb.value_or(0);
    s.at(static_cast<Time>(id) * 1000 + 1, {ended(id, 0, 0, Outcome::kServed)});
  }
  EXPECT_GE(granted, 1000);
  EXPECT_LT(granted, 1010);
}

TEST(WorkEstimates, LatencyReplacesMissingWorkEstimates) {
  auto settings = basic_settings();
  settings.classes[0].latency_objective = kSecond;
  Script s(settings);
  s.list(0, {engine(0)});
  Time now = 1;
  for (RequestId id = 1; id <= 200; ++id, now += 5 * kSecond) {
    auto q = query(id, 7);
    q.work.reset();
    q.deadline = now + 60 * kSecond;
    s.at(now, {q});
    auto end = ended(id, 0, 0, Outcome::kServed);
    end.latency = 4 * kSecond;
    s.wait(now + 20'000, now + 4 * kSecond);
    s.at(now + 4 * kSecond, {end});
    s.wait(now + 4 * kSecond + 20'000, now + 5 * kSecond - 20'000);
  }
  auto too_late = query(1000, 7);
  too_late.work.reset();
  too_late.deadline = now + kSecond;
  s.at(now, {too_late});
  EXPECT_EQ(s.sends().size(), 0u);
  EXPECT_EQ(s.all<Reject>().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
