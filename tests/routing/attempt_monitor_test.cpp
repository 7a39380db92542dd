// Tests of the detection of slow attempts and attempts without updates.
#include <gtest/gtest.h>

#include <cstddef>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(AttemptMonitor, SlowIdempotentAttemptIsCancelledAndRetried) {
  for (const auto idempotency_kind : {Idempotency::kIdempotent, Idempotency::kNonIdempotent}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = idempotency_kind;
    Script s(settings);
    s.list(0, {engine(0), engine(1)});
    s.at(1, {query(1, 0, 600'000)});
    const auto first = s.sends()[0].engine;
    s.wait(20'001, 480'001);
    s.at(500'000, {AttemptUpdate{1, 0, first, AttemptUpdateKind::kProgress, 0.03}});
    ASSERT_EQ(s.all<Cancel>().size(), idempotency_kind == Idempotency::kIdempotent ? 1u : 0u);
    if (idempotency_kind == Idempotency::kNonIdempotent) continue;
    s.at(500'001, {ended(1, 0, first, Outcome::kCancelled)});
    EXPECT_EQ(s.sends().size(), 1u);
  }
}

TEST(AttemptMonitor, AttemptWithoutUpdatesIsRetriedAndLeavesTheLimit) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  settings.machine_types[0].cores = 0.5;  // One query fits.
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1), query(2)});
  ASSERT_EQ(s.sends().size(), 2u);
  const auto lost_engine = s.sends()[0].engine, healthy_engine = s.sends()[1].engine;
  const auto lost_request = s.sends()[0].request, healthy_request = s.sends()[1].request;
  for (Time t = 500'000; t <= 1'000'000; t += 500'000) {
    s.wait(t - 479'999, t);
    s.at(t, {AttemptUpdate{healthy_request, 0, healthy_engine, AttemptUpdateKind::kProgress, 0.9}});
  }
  s.wait(1'020'000, 1'260'000);
  ASSERT_EQ(s.all<Cancel>().size(), 1u);
  EXPECT_EQ(s.all<Cancel>()[0].request, lost_request);
  s.at(1'400'001, {query(3)});
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].engine, lost_engine);
}

TEST(AttemptMonitor, AttemptWaitingForMemoryIsNotPresumedLost) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1), query(2)});
  ASSERT_EQ(s.sends().size(), 2u);
  const auto waiting = s.sends()[0], running = s.sends()[1];
  s.at(10'000, {AttemptUpdate{waiting.request, 0, waiting.engine, AttemptUpdateKind::kWaitingForMemory, 1}});
  std::size_t cancels = 0;
  for (Time t = 500'000; t <= 4 * kSecond; t += 500'000) {
    s.wait(t - 479'999, t);
    cancels += s.all<Cancel>().size();
    s.at(t, {AttemptUpdate{running.request, 0, running.engine, AttemptUpdateKind::kProgress, 0.9}});
  }
  EXPECT_EQ(cancels, 0u);
}

TEST(AttemptMonitor, WithoutAnyUpdatesNoAttemptIsPresumedLost) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1 * kSecond, {query(1)});
  s.wait(kSecond, 5 * kSecond);
  EXPECT_EQ(s.all<Cancel>().size(), 0u);
}

TEST(AttemptMonitor, LastAllowedAttemptIsNotCancelled) {
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

TEST(AttemptMonitor, AttemptsOfUniformlySlowClassAreNotCancelled) {
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
