// Attempts that run badly or have gone silent. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <cstddef>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(AttemptMonitor, AnAttemptFarBehindItsEstimateIsCancelledAndRetried) {
  for (const auto effect : {Idempotency::kIdempotent, Idempotency::kNonIdempotent}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = effect;
    Script s(settings);
    s.list(0, {engine(0), engine(1)});
    s.at(1, {query(1, 0, 600'000)});
    const auto first = s.sends()[0].engine;
    s.wait(20'001, 480'001);
    s.at(500'000, {AttemptUpdate{1, 0, first, AttemptUpdateKind::kProgress, 0.03}});
    ASSERT_EQ(s.all<Cancel>().size(), effect == Idempotency::kIdempotent ? 1u : 0u);
    if (effect == Idempotency::kNonIdempotent) continue;
    s.at(500'001, {ended(1, 0, first, Outcome::kCancelled)});
    EXPECT_EQ(s.sends().size(), 1u);
  }
}

TEST(AttemptMonitor, ASilentAttemptIsRetriedAndNoLongerFillsTheLimit) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  settings.machine_types[0].cores = 0.5;  // a window of one query
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1), query(2)});
  ASSERT_EQ(s.sends().size(), 2u);
  const auto lost_at = s.sends()[0].engine, well_at = s.sends()[1].engine;
  const auto lost = s.sends()[0].request, well = s.sends()[1].request;
  for (Time t = 500'000; t <= 1'000'000; t += 500'000) {
    s.wait(t - 479'999, t);
    s.at(t, {AttemptUpdate{well, 0, well_at, AttemptUpdateKind::kProgress, 0.9}});
  }
  s.wait(1'020'000, 1'260'000);
  ASSERT_EQ(s.all<Cancel>().size(), 1u);
  EXPECT_EQ(s.all<Cancel>()[0].request, lost);
  s.at(1'400'001, {query(3)});
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].engine, lost_at);
}

TEST(AttemptMonitor, WhatWaitsForMemorySaysSoOnceAndIsNotLost) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1), query(2)});
  ASSERT_EQ(s.sends().size(), 2u);
  const auto waits = s.sends()[0], runs = s.sends()[1];
  s.at(10'000, {AttemptUpdate{waits.request, 0, waits.engine, AttemptUpdateKind::kWaitingForMemory, 1}});
  std::size_t cancels = 0;
  for (Time t = 500'000; t <= 4 * kSecond; t += 500'000) {
    s.wait(t - 479'999, t);
    cancels += s.all<Cancel>().size();
    s.at(t, {AttemptUpdate{runs.request, 0, runs.engine, AttemptUpdateKind::kProgress, 0.9}});
  }
  EXPECT_EQ(cancels, 0u);
}

TEST(AttemptMonitor, WithoutUpdatesFromAnybodyNothingIsPresumedLost) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1 * kSecond, {query(1)});
  s.wait(kSecond, 5 * kSecond);
  EXPECT_EQ(s.all<Cancel>().size(), 0u);
}

TEST(AttemptMonitor, TheLastAllowedAttemptIsLeftToRun) {
  auto settings = basic_settings();
  settings.max_attempts = 1;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1, 0, 600'000)});
  const auto first = s.sends().at(0).engine;
  s.wait(20'001, 480'001);
  s.at(500'000, {AttemptUpdate{1, 0, first, AttemptUpdateKind::kProgress, 0.03}});
  EXPECT_EQ(s.all<Cancel>().size(), 0u);
}

TEST(AttemptMonitor, AClassThatIsSlowAltogetherIsLeftAlone) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 100;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  std::size_t late_cancels = 0;
  for (RequestId id = 1; id <= 120; ++id) {
    const Time now = static_cast<Time>(id) * 600'000;
    auto q = query(id, 0, 600'000);
    q.deadline = now + 20 * kSecond;
    s.at(now, {q});
    const auto at = s.sends().at(0).engine;
    s.wait(now + 20'000, now + 480'000);
    s.at(now + 500'000, {AttemptUpdate{id, 0, at, AttemptUpdateKind::kProgress, 0.03}});
    if (id > 80) late_cancels += s.all<Cancel>().size();
    s.at(now + 500'001, {ended(id, 0, at, Outcome::kServed)});
  }
  EXPECT_EQ(late_cancels, 0u);
}

}  // namespace
}  // namespace rookproxy::routing
