// Tests of where and how often a request may be sent again.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(Idempotency, NonIdempotentIsNotRetriedOnceItMayHaveRun) {
  for (const auto outcome :
       {Outcome::kError, Outcome::kConnectionLost, Outcome::kNoResponse, Outcome::kCancelled}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = Idempotency::kNonIdempotent;
    Script s(settings);
    s.list(0, {engine(0), engine(1)});
    s.at(1, {query(1)});
    s.at(2, {ended(1, 0, s.sends()[0].engine, outcome)});
    EXPECT_EQ(s.sends().size(), 0u);
    EXPECT_EQ(s.all<Reject>().size(), 0u);
    EXPECT_EQ(s.all<Fail>().size(), 1u);
  }
}

TEST(Idempotency, NonIdempotentThatNeverRanIsRetried) {
  auto settings = basic_settings();
  settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1)});
  s.at(2, {ended(1, 0, s.sends()[0].engine, Outcome::kRejected)});
  EXPECT_EQ(s.sends().size(), 1u);
}

Settings keyed(IdempotencyScope scope) {
  auto settings = basic_settings();
  settings.classes[0].idempotency = Idempotency::kKeyed;
  settings.classes[0].idempotency_scope = scope;
  settings.classes[0].idempotency_window = 5 * kSecond;
  return settings;
}

TEST(Idempotency, KeyedRequestIsRetriedOnlyWithinItsZoneOrCell) {
  for (const auto scope : {IdempotencyScope::kZone, IdempotencyScope::kCell}) {
    int first_on_single = 0;
    for (std::uint64_t group = 1; group < 20; ++group) {
      Script s(keyed(scope));
      auto a = engine(0), b = engine(1), c = engine(2);
      (scope == IdempotencyScope::kZone ? b.zone : b.cell) = 1;
      (scope == IdempotencyScope::kZone ? c.zone : c.cell) = 1;
      s.list(0, {a, b, c});
      s.at(1, {query(1, group)});
      const auto first = s.sends().at(0).engine;
      s.at(2, {ended(1, 0, first, Outcome::kConnectionLost)});
      EXPECT_EQ(s.all<Reject>().size(), 0u);
      first_on_single += first == 0;  // No other engine detects its duplicates.
      ASSERT_EQ(s.sends().size(), 1u);
      EXPECT_EQ(s.sends()[0].engine == 0, first == 0);
    }
    EXPECT_GT(first_on_single, 0);
  }
}

TEST(Idempotency, KeyedRequestIsNotRetriedAfterItsWindow) {
  Script s(keyed(IdempotencyScope::kAll));
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1), query(2)});
  const auto first = s.sends()[0].engine;
  s.at(5 * kSecond, {ended(1, 0, first, Outcome::kError)});
  EXPECT_EQ(s.sends().size(), 1u);
  s.at(5 * kSecond + 1, {ended(2, 0, first, Outcome::kError)});
  EXPECT_EQ(s.sends().size(), 0u);
  EXPECT_EQ(s.final_responses(), 1u);
}

TEST(Idempotency, WithoutHedgingOneAttemptRunsAtATime) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1)});
  s.wait(20'000, 5 * kSecond);
  EXPECT_EQ(s.all_sends.size(), 1u);
}

TEST(AllowedEngines, RequestsRunOnlyInAllowedZonesAndMachineTypes) {
  auto settings = basic_settings();
  settings.classes[0].allowed_zones = std::vector<std::uint32_t>{1};
  settings.classes[0].allowed_machine_types = std::vector<std::uint32_t>{1};
  Script s(settings);
  auto a = engine(0), b = engine(1), c = engine(2);
  a.zone = 1;
  b.machine_type = 1;
  c.zone = 1;
  c.machine_type = 1;
  s.list(0, {a, b});
  s.at(1, {query(1, 1), query(2, 2)});
  EXPECT_EQ(s.sends().size(), 0u);
  s.list(2, {c}, EngineListKind::kDelta);
  s.wait(20'000, 40'000);
  ASSERT_EQ(s.all_sends.size(), 2u);
  for (const auto& send : s.all_sends) EXPECT_EQ(send.engine, 2u);
}

TEST(Retries, StayWithinTheRetryBudget) {
  auto settings = basic_settings();
  settings.retry_budget = RetryBudget{2, 0.1, 10 * kSecond};
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 10; ++id) burst.push_back(query(id, id));
  s.at(1, burst);
  const auto first = s.sends();
  ASSERT_EQ(first.size(), 10u);
  std::size_t retries = 0;
  for (const auto& send : first) {
    s.at(2, {ended(send.request, 0, send.engine, Outcome::kRejected)});
    retries += s.sends().size();
  }
  EXPECT_EQ(retries, 3u);  // 2 + 0.1 * 10.
}

TEST(Retries, StopAtMaxAttempts) {
  auto settings = basic_settings();
  settings.max_attempts = 2;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1)});
  s.at(2, {ended(1, 0, s.sends()[0].engine, Outcome::kRejected)});
  ASSERT_EQ(s.sends().size(), 1u);
  s.at(3, {ended(1, 1, s.sends()[0].engine, Outcome::kRejected)});
  EXPECT_EQ(s.sends().size(), 0u);
  EXPECT_EQ(s.all<Reject>().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
