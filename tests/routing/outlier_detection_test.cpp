// Engines that fail or lag behind. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(OutlierDetection, AnEngineThatFailsAtOnceGetsOneRequestAtATime) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0), engine(1)});
  std::size_t to_failing = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const Time now = static_cast<Time>(id) * 2000;
    router.handle(now, {query(id, id % 12)});
    for (std::uint32_t attempt = 0; !router.sends().empty(); ++attempt) {
      const auto at = router.sends()[0].engine;
      if (at == 0) ++to_failing;
      router.handle(now, {ended(id, attempt, at, at == 0 ? Outcome::kError : Outcome::kServed)});
    }
  }
  EXPECT_GE(to_failing, 1u);
  EXPECT_LE(to_failing, 4u);
}

TEST(OutlierDetection, WhereMostEnginesFailNoneIsEjected) {
  auto settings = basic_settings();
  settings.max_attempts = 1;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1), engine(2)});
  for (RequestId id = 1; id <= 60; ++id) {  // every engine errs
    const Time now = static_cast<Time>(id) * 20'000;
    router.handle(now, {TimerFired{kTickToken}, query(id, id % 12)});
    const auto sends = router.sends();
    for (const auto& send : sends) router.handle(now, {ended(send, Outcome::kError)});
  }
  router.handle(5 * kSecond, {TimerFired{kTickToken}});
  std::vector<Event> burst;
  for (RequestId id = 100; id < 112; ++id) burst.push_back(query(id, id));
  router.handle(5 * kSecond + 1, burst);
  EXPECT_GE(router.sends().size(), 12u);
}

TEST(OutlierDetection, AnEjectedEngineIsTriedWithOneQuery) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1)});
  router.handle(2, {ended(1, 0, 0, Outcome::kConnectFailed)});
  EXPECT_EQ(router.sends().size(), 0u);
  router.update_engines(3, {engine(1)}, EngineListKind::kDelta);
  router.handle(kSecond, {query(2, 1), query(3, 2), query(4, 3)});
  const auto sends = router.sends();
  EXPECT_EQ(std::count_if(sends.begin(), sends.end(),
                          [](const Send& send) {
                            return send.engine == 0;
                          }),
            1);
}

TEST(OutlierDetection, ABrokenConnectionIsNoProofThatItsEngineIsUnreachable) {
  // One malformed response ends all that is open on its connection: that must not eject the engine.
  ScriptedRouter router(settings_with_slow_start());
  router.update_engines(0, {engine(0)});
  std::vector<Event> burst;
  std::vector<Event> lost;
  for (RequestId id = 1; id <= 6; ++id) {
    burst.push_back(query(id));
    lost.push_back(ended(id, 0, 0, Outcome::kConnectionLost));
  }
  router.handle(1, burst);
  ASSERT_EQ(router.sends().size(), 6u);
  router.handle(2, lost);
  EXPECT_EQ(router.sends().size(), 6u);
  // Where every connection breaks and nothing is ever answered, it is ejected after all.
  Time now = 3;
  for (std::uint32_t attempt = 1; attempt <= 3; ++attempt, ++now) {
    std::vector<Event> retries_lost;
    for (RequestId id = 1; id <= 6; ++id)
      retries_lost.push_back(ended(id, attempt, 0, Outcome::kConnectionLost));
    router.handle(now, retries_lost);
  }
  EXPECT_EQ(router.sends().size(), 0u);
}

TEST(OutlierDetection, WhatHealthyEnginesFailIsTheRequestsFault) {
  // Engines respond with an error to what they can't use: faulty clients must not get them ejected for
  // others.
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0), engine(1), engine(2)});
  Time now = 1;
  RequestId id = 1;
  const auto serve = [&](std::uint64_t group) {
    router.handle(++now, {query(id, group)});
    ASSERT_EQ(router.sends().size(), 1u);
    router.handle(++now, {ended(id++, 0, router.sends()[0].engine, Outcome::kServed)});
  };
  for (std::uint64_t group = 0; group < 40; ++group) serve(group);
  for (std::uint64_t group = 0; group < 20; ++group, ++id) {
    router.handle(++now, {query(id, group)});
    ASSERT_EQ(router.sends().size(), 1u);
    router.handle(++now, {ended(id, 0, router.sends()[0].engine, Outcome::kError)});
    ASSERT_EQ(router.sends().size(), 1u);
    router.handle(++now, {ended(id, 1, router.sends()[0].engine, Outcome::kError)});
    EXPECT_EQ(router.sends().size(), 0u);
    EXPECT_EQ(router.actions_of<Fail>().size(), 1u);
  }
  for (std::uint64_t group = 0; group < 40; ++group) serve(group);
  // One that fails what others serve is found out all the same.
  router.handle(++now, {query(id, 7)});
  const auto failing = router.sends().at(0).engine;
  router.handle(++now, {ended(id, 0, failing, Outcome::kError)});
  router.handle(++now, {ended(id++, 1, router.sends().at(0).engine, Outcome::kServed)});
  router.handle(++now, {query(id, 7)});
  router.handle(++now, {ended(id, 0, router.sends().at(0).engine, Outcome::kError)});
  router.handle(++now, {ended(id++, 1, router.sends().at(0).engine, Outcome::kServed)});
  router.handle(++now, {query(id, 7)});
  EXPECT_NE(router.sends().at(0).engine, failing);
}

TEST(OutlierDetection, TimeoutsAndCancelledSlowAttemptsCountTowardsAnEnginesLatency) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  for (const auto outcome : {Outcome::kNoResponse, Outcome::kCancelled}) {
    ScriptedRouter router(settings);
    router.update_engines(0, {engine(0), engine(1), engine(2)});
    router.handle(1, {query(1, 7)});
    const auto preferred = router.sends().at(0).engine;
    router.handle(10'000, {ended(1, 0, preferred, Outcome::kServed)});
    router.advance(20'000, kSecond - 20'000);
    Time now = kSecond;
    int there = 0;
    for (RequestId id = 2; id <= 8; ++id, now += 10 * kSecond) {
      auto arrived = query(id, 7);
      arrived.deadline = now + 4 * kSecond;
      router.handle(now, {arrived});
      ASSERT_EQ(router.sends().size(), 1u);
      const auto at = router.sends()[0].engine;
      if (at == preferred) {
        ++there;
        AttemptUpdate update;
        update.request = id;
        update.engine = at;
        update.amount = 0.4;
        router.advance(now + 20'000, now + 480'000);
        router.handle(now + 500'000, {update});
        router.advance(now + 520'000, now + 3'980'000);
        router.handle(now + 3'990'000, {ended(id, 0, at, outcome)});
        router.advance(now + 4 * kSecond, now + 10 * kSecond - 20'000);
      } else {
        router.handle(now + 10'000, {ended(id, 0, at, Outcome::kServed)});
        router.advance(now + 20'000, now + 10 * kSecond - 20'000);
      }
    }
    EXPECT_GE(there, 1);
    EXPECT_LE(there, 4);
  }
}

}  // namespace
}  // namespace rookproxy::routing
