// Tests of the router with scripted events: responses, engine lists, stalls and changes of settings.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(WorkStealing, IdleEngineTakesOldestRequestOfLongestQueue) {
  auto settings = basic_settings();
  // With half a core per thread, two threads fit.
  settings.machine_types[0].cores = 1;
  Script s(settings);
  s.list(0, {engine(0)});
  for (RequestId id = 1; id <= 6; ++id) s.at(static_cast<Time>(id), {query(id)});
  ASSERT_EQ(s.all_sends.size(), 2u);
  s.list(10, {engine(1)}, EngineListKind::kDelta);
  ASSERT_EQ(s.sends().size(), 2u);
  EXPECT_EQ(s.sends()[0].request, 3u);
  EXPECT_EQ(s.sends()[0].engine, 1u);
  EXPECT_EQ(s.sends()[1].request, 4u);
}

TEST(Responses, WithoutEnginesARequestGetsOneResponseAtItsDeadline) {
  Script s(basic_settings());
  s.at(1, {query(1)});
  EXPECT_EQ(s.sends().size(), 0u);
  s.wait(20'000, 21 * kSecond);
  EXPECT_EQ(s.final_responses(), 1u);
}

TEST(Responses, AttemptWithoutResponseFailsTheRequestOnceAtItsDeadline) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1)});
  s.at(20 * kSecond, {ended(1, 0, 0, Outcome::kNoResponse)});
  EXPECT_EQ(s.all<Fail>().size(), 1u);
  s.at(20 * kSecond + 1, {ended(1, 0, 0, Outcome::kNoResponse), TimerFired{9}});
  EXPECT_EQ(s.final_responses(), 0u);
}

TEST(Responses, DeadlineTimerFailsRequestWhoseAttemptHasNotEnded) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1)});
  std::uint64_t token = 0;
  for (const auto& w : s.all<SetTimer>()) {
    if (w.at == 20 * kSecond) token = w.token;
  }
  ASSERT_NE(token, 0u);
  s.at(20 * kSecond, {TimerFired{token}});
  EXPECT_EQ(s.all<Fail>().size(), 1u);
}

TEST(Responses, NothingIsSentAfterTheClientDisconnects) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1)});
  s.at(2, {ClientDisconnected{1}});
  s.at(3, {ended(1, 0, 0, Outcome::kRejected)});
  EXPECT_EQ(s.sends().size(), 0u);
  EXPECT_EQ(s.final_responses(), 0u);
}

TEST(Responses, UnknownAndDuplicateEventsAreIgnored) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1), query(1), ended(9, 0, 0, Outcome::kServed), ended(1, 5, 0, Outcome::kServed),
           AttemptUpdate{9, 0, 0, AttemptUpdateKind::kProgress, 0.5}, TimerFired{12345},
           ClientDisconnected{77}});
  EXPECT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.final_responses(), 0u);
}

TEST(Responses, RequestThatCannotMeetItsObjectiveIsRejectedWithRetryAfter) {
  auto settings = basic_settings();
  settings.classes[0].latency_objective = kSecond;
  settings.machine_types[0].cores = 0.5;
  Script s(settings);
  s.list(0, {engine(0)});
  s.at(1, {query(1, 0, 500'000), query(2, 0, 500'000)});
  s.wait(20'000, 2 * kSecond);
  ASSERT_EQ(s.all<Reject>().size(), 1u);
  EXPECT_TRUE(s.all<Reject>()[0].retry_after.has_value());
}

TEST(Responses, RequestWhoseTypicalLatencyExceedsItsDeadlineIsRejectedAtOnce) {
  // The run time alone would fit into the deadline, but the typical latency does not.
  Script s(basic_settings());
  s.list(0, {engine(0)});
  auto too_late = query(1);
  too_late.deadline = 120'000;  // 100 ms of work; the initial latency ratio is 1.5.
  auto fits = query(2);
  fits.deadline = 160'000;
  s.at(1, {too_late, fits});
  ASSERT_EQ(s.all<Reject>().size(), 1u);
  EXPECT_EQ(s.all<Reject>()[0].request, 1u);
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].request, 2u);
}

TEST(Drain, NoRequestIsSentToDrainingRemovedOrUnlistedEngine) {
  for (const int variant : {0, 1, 2}) {
    Script s(basic_settings());
    s.list(0, {engine(0), engine(1)});
    auto a = engine(0);
    a.state = variant == 0 ? EngineState::kDraining : EngineState::kRemoved;
    if (variant == 2) {
      s.list(1, {engine(1)});
    } else {
      s.list(1, {a}, EngineListKind::kDelta);
    }
    for (RequestId id = 1; id < 40; ++id) s.at(static_cast<Time>(id + 1), {query(id, id)});
    for (const auto& send : s.all_sends) EXPECT_EQ(send.engine, 1u);
    EXPECT_GE(s.all_sends.size(), 16u);
  }
}

TEST(Drain, QueuedRequestsMoveToAnotherEngine) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 0.5;
  Script s(settings);
  s.list(0, {engine(0)});
  s.at(1, {query(1), query(2)});
  auto a = engine(0);
  a.state = EngineState::kDraining;
  s.list(2, {a, engine(1)}, EngineListKind::kDelta);
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].request, 2u);
  EXPECT_EQ(s.sends()[0].engine, 1u);
}

TEST(Responses, IdempotentAttemptIsCancelledWhenTheClientDisconnects) {
  for (const auto idempotency_kind : {Idempotency::kIdempotent, Idempotency::kNonIdempotent}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = idempotency_kind;
    Script s(settings);
    s.list(0, {engine(0)});
    s.at(1, {query(1)});
    s.at(2, {ClientDisconnected{1}});
    EXPECT_EQ(s.all<Cancel>().size(), idempotency_kind == Idempotency::kIdempotent ? 1u : 0u);
  }
}

TEST(Deterministic, SameEventsProduceSameActions) {
  const auto run = [] {
    auto settings = with_slow_start();
    settings.retry_budget = RetryBudget{2, 0.1, 10 * kSecond};
    Script s(settings), other(settings);
    std::string text;
    s.list(0, {engine(0), engine(1), engine(2)});
    for (RequestId id = 1; id <= 200; ++id) {
      other.at(static_cast<Time>(id), {query(id, id)});
      s.at(static_cast<Time>(id) * 3000, {query(id, id * 7 % 13)});
      for (const auto& send : s.sends()) {
        text += std::to_string(send.request) + ":" + std::to_string(send.engine) + " ";
        s.at(static_cast<Time>(id) * 3000 + 1,
             {ended(send.request, 0, send.engine, id % 5 ? Outcome::kServed : Outcome::kError)});
        text += std::to_string(s.sends().size()) + " ";
      }
    }
    return text;
  };
  EXPECT_EQ(run(), run());
}

TEST(Stall, StallOfThisProcessDoesNotMakeAttemptsPresumedLost) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  for (const bool stalled : {true, false}) {
    Script s(settings);
    s.list(0, {engine(0), engine(1)});
    s.at(1, {query(1), query(2)});
    const auto sends = s.sends();
    ASSERT_EQ(sends.size(), 2u);
    if (!stalled) s.wait(20'001, 1'800'001);
    s.at(1'820'001,
         {AttemptUpdate{1, 0, sends[0].engine, AttemptUpdateKind::kWaitingForMemory, 0}, TimerFired{1}});
    EXPECT_EQ(s.all<Cancel>().size(), stalled ? 0u : 1u);
  }
}

TEST(Stall, RequestsReceivedDuringAStallCountTheirWaitingTime) {
  auto settings = basic_settings();
  settings.classes[0].latency_objective = kSecond;
  Script s(settings);
  s.list(0, {engine(0)});
  auto q = query(1);
  q.deadline = 5 * kSecond;  // The client waits for 5 s.
  s.at(0, {q});
  auto old = query(2);
  old.deadline = 5 * kSecond + 200'000;  // Arrived at 0.2 s if the client waits for 5 s.
  auto young = query(3);
  young.deadline = 5 * kSecond + 1'900'000;
  s.at(2 * kSecond, {old, young});
  ASSERT_EQ(s.all<Reject>().size(), 1u);
  EXPECT_EQ(s.all<Reject>()[0].request, 2u);
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].request, 3u);
}

TEST(Stall, DrainReceivedAfterAStallAppliesToTheWholeBatch) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1, 7)});
  auto preferred = engine(s.sends().at(0).engine);
  preferred.state = EngineState::kDraining;
  s.at(3 * kSecond, {query(2, 7), EngineList{EngineListKind::kDelta, {preferred}}, query(3, 7)});
  ASSERT_EQ(s.sends().size(), 2u);
  for (const auto& one : s.sends()) EXPECT_NE(one.engine, preferred.id);
}

TEST(EngineList, LargeIdsAndUnknownEnginesAreHandled) {
  Script s(basic_settings());
  s.list(0, {engine(4'000'000'000u)});
  s.at(1, {query(1), ProbeEnded{17, Outcome::kServed, 5, LoadReport{}}});
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].engine, 4'000'000'000u);
  s.at(2,
       {ended(1, 0, 4'000'000'000u, Outcome::kServed), EngineList{EngineListKind::kSnapshot, {engine(1)}}});
  s.at(3, {query(2)});
  EXPECT_EQ(s.sends().at(0).engine, 1u);
}

TEST(EngineList, RejectedSubscriptionIsRepeated) {
  auto settings = basic_settings();
  settings.engine_list_mode = EngineListMode::kSubscribed;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kCached, {engine(0)}}});
  EXPECT_EQ(s.all<SubscribeEngineList>().size(), 1u);
  s.at(1, {EngineList{EngineListKind::kRejected, {}}});
  ASSERT_EQ(s.all<SetTimer>().size(), 1u);
  const auto retry_timer = s.all<SetTimer>()[0];
  s.at(retry_timer.at, {TimerFired{retry_timer.token}});
  EXPECT_EQ(s.all<SubscribeEngineList>().size(), 1u);
}

TEST(EngineList, PushedListNeedsNoSubscription) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  EXPECT_EQ(s.all<SubscribeEngineList>().size(), 0u);
}

TEST(UpdateSettings, OpenRequestsKeepTheirClassAndItsMaxAttempts) {
  auto settings = basic_settings();
  settings.classes[0].max_attempts = 2;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1)});
  auto other = settings.classes[0];
  other.idempotency = Idempotency::kNonIdempotent, other.max_attempts = 1;
  settings.classes.push_back(other);
  s.router().update_settings(settings);
  auto non_idempotent = query(2);
  non_idempotent.class_index = 1;
  s.at(2, {non_idempotent});
  const auto at = s.sends()[0].engine;
  s.at(3, {ended(1, 0, s.all_sends[0].engine, Outcome::kError)});
  ASSERT_EQ(s.sends().size(), 1u);  // Idempotent, and a second attempt is allowed.
  s.at(4, {ended(2, 0, at, Outcome::kRejected)});
  EXPECT_TRUE(s.sends().empty());  // It never ran, but its only allowed attempt is used.
  EXPECT_EQ(s.all<Reject>().size(), 1u);
  s.at(5, {ended(1, 1, s.all_sends[2].engine, Outcome::kRejected)});
  EXPECT_TRUE(s.sends().empty());
  EXPECT_EQ(s.final_responses(), 1u);
}

TEST(UpdateSettings, AffinityAndEngineHealthAreKept) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1), engine(2)});
  s.at(1, {query(1, 7)});
  const auto preferred = s.sends()[0].engine;
  s.at(2, {query(2, 8)});
  const auto broken = s.sends()[0].engine;
  ASSERT_NE(broken, preferred);
  s.at(3, {ended(2, 0, broken, Outcome::kConnectFailed)});
  EXPECT_EQ(s.router().avoided_engines(3), 1u);
  auto settings = basic_settings();
  settings.classes[0].priority_weight = 5;
  s.router().update_settings(settings);
  EXPECT_EQ(s.router().avoided_engines(3), 1u);
  s.at(4, {query(3, 7)});
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].engine, preferred);
}

TEST(UpdateSettings, InvalidSettingsChangeNothing) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  auto settings = basic_settings();
  settings.max_attempts = 0;
  EXPECT_THROW(s.router().update_settings(settings), InvalidSettings);
  s.at(1, {query(1)});
  s.at(2, {ended(1, 0, 0, Outcome::kRejected)});
  EXPECT_EQ(s.final_responses(), 0u);
}

TEST(AvoidedEngines, DrainingEnginesCountAndRemovedOnesDoNot) {
  Script s(basic_settings());
  auto draining = engine(1), gone = engine(2);
  draining.state = EngineState::kDraining, gone.state = EngineState::kRemoved;
  s.list(0, {engine(0), draining, gone});
  EXPECT_EQ(s.router().avoided_engines(0), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
