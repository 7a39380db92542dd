// Attempts that run badly or have gone silent. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <cstddef>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(AttemptMonitor, AnAttemptFarBehindItsEstimateIsCancelledAndRetried) {
  for (const auto idempotency : {Idempotency::kIdempotent, Idempotency::kNonIdempotent}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = idempotency;
    ScriptedRouter router(settings);
    router.update_engines(0, {engine(0), engine(1)});
    router.handle(1, {query(1, 0, 600'000)});
    const auto first = router.sends()[0].engine;
    router.advance(20'001, 480'001);
    router.handle(500'000, {AttemptUpdate{1, 0, first, AttemptUpdateKind::kProgress, 0.03}});
    ASSERT_EQ(router.actions_of<Cancel>().size(), idempotency == Idempotency::kIdempotent ? 1u : 0u);
    if (idempotency == Idempotency::kNonIdempotent) continue;
    router.handle(500'001, {ended(1, 0, first, Outcome::kCancelled)});
    EXPECT_EQ(router.sends().size(), 1u);
  }
}

TEST(AttemptMonitor, ASilentAttemptIsRetriedAndNoLongerFillsTheLimit) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  settings.machine_types[0].cores = 0.5;  // a limit of one query
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1), query(2)});
  ASSERT_EQ(router.sends().size(), 2u);
  const Send silent = router.sends()[0];
  const Send other = router.sends()[1];
  for (Time t = 500'000; t <= 1'000'000; t += 500'000) {
    router.advance(t - 479'999, t);
    router.handle(t, {AttemptUpdate{other.request, 0, other.engine, AttemptUpdateKind::kProgress, 0.9}});
  }
  router.advance(1'020'000, 1'260'000);
  ASSERT_EQ(router.actions_of<Cancel>().size(), 1u);
  EXPECT_EQ(router.actions_of<Cancel>()[0].request, silent.request);
  router.handle(1'400'001, {query(3)});
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].engine, silent.engine);
}

TEST(AttemptMonitor, AnAttemptThatWaitsForMemoryIsNotPresumedLost) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1), query(2)});
  ASSERT_EQ(router.sends().size(), 2u);
  const Send waits = router.sends()[0];
  const Send runs = router.sends()[1];
  router.handle(10'000,
                {AttemptUpdate{waits.request, 0, waits.engine, AttemptUpdateKind::kWaitingForMemory, 1}});
  std::size_t cancels = 0;
  for (Time t = 500'000; t <= 4 * kSecond; t += 500'000) {
    router.advance(t - 479'999, t);
    cancels += router.actions_of<Cancel>().size();
    router.handle(t, {AttemptUpdate{runs.request, 0, runs.engine, AttemptUpdateKind::kProgress, 0.9}});
  }
  EXPECT_EQ(cancels, 0u);
}

TEST(AttemptMonitor, WithoutUpdatesFromAnybodyNothingIsPresumedLost) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1 * kSecond, {query(1)});
  router.advance(kSecond, 5 * kSecond);
  EXPECT_EQ(router.actions_of<Cancel>().size(), 0u);
}

TEST(AttemptMonitor, TheLastAllowedAttemptIsLeftToRun) {
  auto settings = basic_settings();
  settings.max_attempts = 1;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1, 0, 600'000)});
  const auto first = router.sends().at(0).engine;
  router.advance(20'001, 480'001);
  router.handle(500'000, {AttemptUpdate{1, 0, first, AttemptUpdateKind::kProgress, 0.03}});
  EXPECT_EQ(router.actions_of<Cancel>().size(), 0u);
}

TEST(AttemptMonitor, AttemptsOfAClassThatIsSlowAltogetherAreNotCancelled) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 100;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  std::size_t late_cancels = 0;
  for (RequestId id = 1; id <= 120; ++id) {
    const Time now = static_cast<Time>(id) * 600'000;
    auto arrived = query_at(now, id, 0, 600'000);
    router.handle(now, {arrived});
    const auto at = router.sends().at(0).engine;
    router.advance(now + 20'000, now + 480'000);
    router.handle(now + 500'000, {AttemptUpdate{id, 0, at, AttemptUpdateKind::kProgress, 0.03}});
    if (id > 80) late_cancels += router.actions_of<Cancel>().size();
    router.handle(now + 500'001, {ended(id, 0, at, Outcome::kServed)});
  }
  EXPECT_EQ(late_cancels, 0u);
}

}  // namespace
}  // namespace rookproxy::routing
