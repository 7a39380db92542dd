// Tests of the detection of failing and slow engines.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(OutlierDetection, FailingEngineGetsOneRequestAtATime) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1)});
  std::size_t to_bad = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const Time now = static_cast<Time>(id) * 2000;
    s.at(now, {query(id, id % 12)});
    for (std::uint32_t attempt = 0; !s.sends().empty(); ++attempt) {
      const auto at = s.sends()[0].engine;
      if (at == 0) ++to_bad;
      s.at(now, {ended(id, attempt, at, at == 0 ? Outcome::kError : Outcome::kServed)});
    }
  }
  EXPECT_GE(to_bad, 1u);
  EXPECT_LE(to_bad, 4u);
}

TEST(OutlierDetection, NoEngineIsEjectedWhenMostEnginesFail) {
  auto settings = basic_settings();
  settings.max_attempts = 1;
  Script s(settings);
  s.list(0, {engine(0), engine(1), engine(2)});
  // Every engine responds with an error.
  for (RequestId id = 1; id <= 60; ++id) {
    const Time now = static_cast<Time>(id) * 20'000;
    s.at(now, {TimerFired{1}, query(id, id % 12)});
    const auto sends = s.sends();
    for (const auto& send : sends) s.at(now, {ended(send.request, 0, send.engine, Outcome::kError)});
  }
  s.at(5 * kSecond, {TimerFired{1}});
  std::vector<Event> burst;
  for (RequestId id = 100; id < 112; ++id) burst.push_back(query(id, id));
  s.at(5 * kSecond + 1, burst);
  EXPECT_GE(s.sends().size(), 12u);
}

TEST(OutlierDetection, EjectedEngineIsRetriedWithOneQuery) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1)});
  s.at(2, {ended(1, 0, 0, Outcome::kConnectFailed)});
  EXPECT_EQ(s.sends().size(), 0u);
  s.list(3, {engine(1)}, EngineListKind::kDelta);
  s.at(kSecond, {query(2, 1), query(3, 2), query(4, 3)});
  const auto sends = s.sends();
  EXPECT_EQ(std::count_if(sends.begin(), sends.end(), [](const Send& x) { return x.engine == 0; }), 1);
}

TEST(OutlierDetection, LostConnectionDoesNotEjectItsEngine) {
  // One malformed response ends all attempts on its connection, which must not eject the engine.
  Script s(with_slow_start());
  s.list(0, {engine(0)});
  std::vector<Event> queries, lost;
  for (RequestId id = 1; id <= 6; ++id) {
    queries.push_back(query(id));
    lost.push_back(ended(id, 0, 0, Outcome::kConnectionLost));
  }
  s.at(1, queries);
  ASSERT_EQ(s.sends().size(), 6u);
  s.at(2, lost);
  EXPECT_EQ(s.sends().size(), 6u);
  // If every connection is lost without any response, the engine is ejected.
  Time now = 3;
  for (std::uint32_t attempt = 1; attempt <= 3; ++attempt, ++now) {
    std::vector<Event> again;
    for (RequestId id = 1; id <= 6; ++id) again.push_back(ended(id, attempt, 0, Outcome::kConnectionLost));
    s.at(now, again);
  }
  EXPECT_EQ(s.sends().size(), 0u);
}

TEST(OutlierDetection, ErrorsFromHealthyEnginesAreAttributedToTheRequest) {
  // Engines respond with an error to invalid requests, so clients that send them must not make engines
  // unavailable to others.
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1), engine(2)});
  Time now = 1;
  RequestId id = 1;
  const auto serve = [&](std::uint64_t group) {
    s.at(++now, {query(id, group)});
    ASSERT_EQ(s.sends().size(), 1u);
    s.at(++now, {ended(id++, 0, s.sends()[0].engine, Outcome::kServed)});
  };
  for (std::uint64_t group = 0; group < 40; ++group) serve(group);
  for (int invalid = 0; invalid < 20; ++invalid, ++id) {
    s.at(++now, {query(id, static_cast<std::uint64_t>(invalid))});
    ASSERT_EQ(s.sends().size(), 1u);
    s.at(++now, {ended(id, 0, s.sends()[0].engine, Outcome::kError)});
    ASSERT_EQ(s.sends().size(), 1u);
    s.at(++now, {ended(id, 1, s.sends()[0].engine, Outcome::kError)});
    EXPECT_EQ(s.sends().size(), 0u);
    EXPECT_EQ(s.all<Fail>().size(), 1u);
  }
  for (std::uint64_t group = 0; group < 40; ++group) serve(group);
  // An engine that fails requests which others serve is still detected.
  s.at(++now, {query(id, 7)});
  const auto faulty = s.sends().at(0).engine;
  s.at(++now, {ended(id, 0, faulty, Outcome::kError)});
  s.at(++now, {ended(id++, 1, s.sends().at(0).engine, Outcome::kServed)});
  s.at(++now, {query(id, 7)});
  s.at(++now, {ended(id, 0, s.sends().at(0).engine, Outcome::kError)});
  s.at(++now, {ended(id++, 1, s.sends().at(0).engine, Outcome::kServed)});
  s.at(++now, {query(id, 7)});
  EXPECT_NE(s.sends().at(0).engine, faulty);
}

TEST(OutlierDetection, TimeoutsAndCancelledSlowAttemptsRaiseTheEnginesLatency) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  for (const auto outcome : {Outcome::kNoResponse, Outcome::kCancelled}) {
    Script s(settings);
    s.list(0, {engine(0), engine(1), engine(2)});
    s.at(1, {query(1, 7)});
    const auto preferred = s.sends().at(0).engine;
    s.at(10'000, {ended(1, 0, preferred, Outcome::kServed)});
    s.wait(20'000, kSecond - 20'000);
    Time now = kSecond;
    int sends_to_preferred = 0;
    for (RequestId id = 2; id <= 8; ++id, now += 10 * kSecond) {
      auto q = query(id, 7);
      q.deadline = now + 4 * kSecond;
      s.at(now, {q});
      ASSERT_EQ(s.sends().size(), 1u);
      const auto at = s.sends()[0].engine;
      if (at == preferred) {
        ++sends_to_preferred;
        AttemptUpdate update;
        update.request = id, update.engine = at, update.amount = 0.4;
        s.wait(now + 20'000, now + 480'000);
        s.at(now + 500'000, {update});
        s.wait(now + 520'000, now + 3'980'000);
        s.at(now + 3'990'000, {ended(id, 0, at, outcome)});
        s.wait(now + 4 * kSecond, now + 10 * kSecond - 20'000);
      } else {
        s.at(now + 10'000, {ended(id, 0, at, Outcome::kServed)});
        s.wait(now + 20'000, now + 10 * kSecond - 20'000);
      }
    }
    EXPECT_GE(sends_to_preferred, 1);
    EXPECT_LE(sends_to_preferred, 4);
  }
}

}  // namespace
}  // namespace rookproxy::routing
