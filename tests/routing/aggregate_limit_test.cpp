// How the limit on the requests that run on all engines together narrows and opens. Each guard has a test
// that fails when the guard is taken out.
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

// How many of a burst of `count` queries, each of another group from `first_group` on, are sent at once.
std::size_t sends_of_burst(ScriptedRouter& router, Time now, RequestId first_id, RequestId count,
                           std::uint64_t first_group) {
  std::vector<Event> burst;
  for (RequestId i = 0; i < count; ++i) burst.emplace_back(query_at(now, first_id + i, first_group + i));
  router.handle(now, burst);
  return router.sends().size();
}

// Sends 30 queries, one after the other, each of which ends past its objective of 10 s; the time after that.
Time respond_late(ScriptedRouter& router, bool sent_late) {
  Time now = 1;
  for (RequestId id = 1; id <= 30; ++id) {
    if (sent_late) router.update_engines(now, {});
    router.handle(now, {query_at(now, id, 7)});
    router.advance(now + 20'000, now + 10'500'000);
    now += 10'520'000;
    if (sent_late) router.update_engines(now, engine_entries(30));
    EXPECT_EQ(router.all_sends().size(), id);
    if (router.all_sends().size() != id) break;
    router.handle(now + 20'000, {ended(id, 0, router.all_sends().back().engine, Outcome::kServed)});
    now += 40'000;
  }
  return now;
}

TEST(AggregateLimit, LateResponsesNarrowItUnlessTheyWereSentLate) {
  for (const bool sent_late : {false, true}) {
    auto settings = instance_settings(100);
    settings.classes[0].late_weight = 0.5;
    settings.progress_interval.reset();
    ScriptedRouter router(settings);
    router.update_engines(0, engine_entries(30));
    const Time now = respond_late(router, sent_late);
    ASSERT_FALSE(HasFailure());
    const auto sends = sends_of_burst(router, now, 31, 40, 100);
    if (sent_late) {
      EXPECT_GE(sends, 6u);
    } else {
      EXPECT_LE(sends, 4u);
    }
  }
}

// Sends queries that time out or are rejected, one after another; then how many of a burst are sent.
std::size_t sends_after_unanswered(ScriptedRouter& router, RequestId unanswered, Outcome outcome, Time now) {
  for (RequestId id = 1; id <= unanswered; ++id, now += kSecond) {
    auto arrived = query(id, id);
    arrived.deadline = now + 500'000;
    router.handle(now, {arrived});
    if (router.sends().empty()) continue;
    const auto engine = router.sends()[0].engine;
    router.advance(now + 20'000, now + 480'000);
    router.handle(now + 490'000, {ended(id, 0, engine, outcome)});
    router.advance(now + 500'000, now + kSecond - 20'000);
  }
  return sends_of_burst(router, now, unanswered + 1, 40, unanswered + 1);
}

TEST(AggregateLimit, TimeoutsAndRejectionsNarrowIt) {
  for (const auto outcome : {Outcome::kServed, Outcome::kNoResponse, Outcome::kRejected}) {
    ScriptedRouter router(instance_settings(100));
    router.update_engines(0, engine_entries(30));
    const auto sends = sends_after_unanswered(router, 25, outcome, 1);
    EXPECT_EQ(sends >= 6, outcome == Outcome::kServed) << sends;
    EXPECT_EQ(sends <= 3, outcome != Outcome::kServed) << sends;
  }
}

// A query of a class that takes eight threads.
RequestArrived wide_query_at(Time now, RequestId id) {
  auto arrived = query(id, id);
  arrived.class_index = 1;
  arrived.deadline = now + 60 * kSecond;
  return arrived;
}

// Cancels all requests with ids up to `last`.
void cancel_requests(ScriptedRouter& router, Time now, RequestId last) {
  std::vector<Event> disconnects;
  for (RequestId id = 1; id <= last; ++id) disconnects.emplace_back(ClientDisconnected{id});
  router.handle(now, disconnects);
  std::vector<Event> ends;
  for (const auto& send : router.all_sends()) ends.emplace_back(ended(send, Outcome::kCancelled));
  router.handle(now, ends);
}

TEST(AggregateLimit, WhileNarrowOneWideQueryDoesNotFollowAnother) {
  auto settings = instance_settings(300);
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].threads = 8;
  settings.classes[1].latency_objective = 60 * kSecond;
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(10));
  sends_after_unanswered(router, 40, Outcome::kNoResponse, 1);
  Time now = 41 * kSecond;
  cancel_requests(router, now, 80);
  now += 60 * kSecond;
  router.handle(now, {wide_query_at(now, 1000)});
  ASSERT_EQ(router.sends().size(), 1u);
  const Send first = router.sends()[0];
  now += 8 * kSecond;
  router.handle(now, {ended(first, Outcome::kError)});
  router.handle(now, {ClientDisconnected{1000}});
  router.handle(now, {wide_query_at(now, 1001)});
  EXPECT_EQ(router.sends().size(), 0u);  // the first one's threads are still in the mean usage
  const auto before = router.all_sends().size();
  router.advance(now + 20'000, now + 40 * kSecond);
  EXPECT_GT(router.all_sends().size(), before);
}

RequestArrived query_of_tenants(Time now, RequestId id) {
  auto arrived = query_at(now, id, id);
  arrived.tenant = static_cast<std::uint32_t>(id % 2);
  return arrived;
}

// How many of a burst are sent by one of 100 instances that has had a query each `interval`, from tenants
// whose quota is 100 queries per second.
std::size_t sends_after_traffic(Time interval) {
  auto settings = instance_settings(100);
  settings.tenants = {{"a", 50, 0.5}, {"b", 50, 0.5}};
  settings.over_quota_weight = 0.1;
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(30));
  RequestId id = 0;
  Time now = 1;
  for (; now < 20 * kSecond; now += interval) {
    router.handle(now, {query_of_tenants(now, ++id), TimerFired{kTickToken}});
    router.serve_sends(now);
  }
  std::vector<Event> burst;
  for (int i = 0; i < 80; ++i) burst.emplace_back(query_of_tenants(now, ++id));
  router.handle(now, burst);
  return router.sends().size();
}

TEST(AggregateLimit, AnInstanceWithMuchOfTheTrafficHasItsShareOfTheLimits) {
  const auto idle = sends_after_traffic(2 * kSecond);
  const auto busy = sends_after_traffic(100'000);
  EXPECT_GE(busy, 3 * idle);
}

}  // namespace
}  // namespace rookproxy::routing
