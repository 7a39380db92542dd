// The router from scripted events: responses, lists, stalls, other settings. Each guard has a test that fails
// when the guard is taken out.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(WorkStealing, AnIdleEngineTakesTheOldestOfTheLongestQueue) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 1;  // a limit of two threads
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  for (RequestId id = 1; id <= 6; ++id) router.handle(static_cast<Time>(id), {query(id)});
  ASSERT_EQ(router.all_sends().size(), 2u);
  router.update_engines(10, {engine(1)}, EngineListKind::kDelta);
  ASSERT_EQ(router.sends().size(), 2u);
  EXPECT_EQ(router.sends()[0].request, 3u);
  EXPECT_EQ(router.sends()[0].engine, 1u);
  EXPECT_EQ(router.sends()[1].request, 4u);
}

TEST(Responses, OneAtTheDeadlineWithNoEngine) {
  ScriptedRouter router(basic_settings());
  router.handle(1, {query(1)});
  EXPECT_EQ(router.sends().size(), 0u);
  router.advance(20'000, 21 * kSecond);
  EXPECT_EQ(router.final_responses(), 1u);
}

TEST(Responses, OneAtTheDeadlineOfAnAttemptWithoutResponse) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1)});
  router.handle(20 * kSecond, {ended(1, 0, 0, Outcome::kNoResponse)});
  EXPECT_EQ(router.actions_of<Fail>().size(), 1u);
  router.handle(20 * kSecond + 1, {ended(1, 0, 0, Outcome::kNoResponse), TimerFired{9}});
  EXPECT_EQ(router.final_responses(), 0u);
}

TEST(Responses, TheDeadlineTimerEndsAnAttemptWithoutOutcome) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1)});
  std::uint64_t token = 0;
  for (const auto& w : router.actions_of<SetTimer>()) {
    if (w.at == 20 * kSecond) token = w.token;
  }
  ASSERT_NE(token, 0u);
  router.handle(20 * kSecond, {TimerFired{token}});
  EXPECT_EQ(router.actions_of<Fail>().size(), 1u);
}

TEST(Responses, NothingIsSentAfterTheEnd) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1)});
  router.handle(2, {ClientDisconnected{1}});
  router.handle(3, {ended(1, 0, 0, Outcome::kRejected)});
  EXPECT_EQ(router.sends().size(), 0u);
  EXPECT_EQ(router.final_responses(), 0u);
}

TEST(Responses, UnknownAndRepeatedEventsAreHarmless) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1), query(1), ended(9, 0, 0, Outcome::kServed), ended(1, 5, 0, Outcome::kServed),
                    AttemptUpdate{9, 0, 0, AttemptUpdateKind::kProgress, 0.5}, TimerFired{12345},
                    ClientDisconnected{77}});
  EXPECT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.final_responses(), 0u);
}

TEST(Responses, WorkThatCannotMeetItsDeadlineIsRejectedWithARetryTime) {
  auto settings = basic_settings();
  settings.classes[0].latency_objective = kSecond;
  settings.machine_types[0].cores = 0.5;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1, 0, 500'000), query(2, 0, 500'000)});
  router.advance(20'000, 2 * kSecond);
  ASSERT_EQ(router.actions_of<Reject>().size(), 1u);
  EXPECT_TRUE(router.actions_of<Reject>()[0].retry_after.has_value());
}

TEST(Responses, ARequestThatItsClassesLatencyDoesNotFitIsRejectedAtOnce) {
  // Its run alone would fit, but not the latency that its class has had of late.
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  auto hopeless = query(1);
  hopeless.deadline = 120'000;  // 100 ms of work, 1.5 times that before anything is known
  auto fits = query(2);
  fits.deadline = 160'000;
  router.handle(1, {hopeless, fits});
  ASSERT_EQ(router.actions_of<Reject>().size(), 1u);
  EXPECT_EQ(router.actions_of<Reject>()[0].request, 1u);
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].request, 2u);
}

TEST(Drain, NothingGoesToADrainingRemovedOrUnlistedEngine) {
  for (const int how : {0, 1, 2}) {
    ScriptedRouter router(basic_settings());
    router.update_engines(0, {engine(0), engine(1)});
    auto a = engine(0);
    a.state = how == 0 ? EngineState::kDraining : EngineState::kRemoved;
    if (how == 2) {
      router.update_engines(1, {engine(1)});
    } else {
      router.update_engines(1, {a}, EngineListKind::kDelta);
    }
    for (RequestId id = 1; id < 40; ++id) router.handle(static_cast<Time>(id + 1), {query(id, id)});
    for (const auto& send : router.all_sends()) EXPECT_EQ(send.engine, 1u);
    EXPECT_GE(router.all_sends().size(), 16u);
  }
}

TEST(Drain, QueuedRequestsMove) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 0.5;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1), query(2)});
  auto a = engine(0);
  a.state = EngineState::kDraining;
  router.update_engines(2, {a, engine(1)}, EngineListKind::kDelta);
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].request, 2u);
  EXPECT_EQ(router.sends()[0].engine, 1u);
}

TEST(Responses, RequestsOfDisconnectedClientsAreCancelled) {
  for (const auto idempotency : {Idempotency::kIdempotent, Idempotency::kNonIdempotent}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = idempotency;
    ScriptedRouter router(settings);
    router.update_engines(0, {engine(0)});
    router.handle(1, {query(1)});
    router.handle(2, {ClientDisconnected{1}});
    EXPECT_EQ(router.actions_of<Cancel>().size(), idempotency == Idempotency::kIdempotent ? 1u : 0u);
  }
}

TEST(Deterministic, TheSameEventsLeadToTheSameActions) {
  const auto run = [] {
    auto settings = settings_with_slow_start();
    settings.retry_budget = RetryBudget{2, 0.1, 10 * kSecond};
    ScriptedRouter router(settings);
    ScriptedRouter other(settings);
    std::string text;
    router.update_engines(0, {engine(0), engine(1), engine(2)});
    for (RequestId id = 1; id <= 200; ++id) {
      other.handle(static_cast<Time>(id), {query(id, id)});
      router.handle(static_cast<Time>(id) * 3000, {query(id, id * 7 % 13)});
      for (const auto& send : router.sends()) {
        text += std::to_string(send.request) + ":" + std::to_string(send.engine) + " ";
        router.handle(static_cast<Time>(id) * 3000 + 1,
                      {ended(send, id % 5 ? Outcome::kServed : Outcome::kError)});
        text += std::to_string(router.sends().size()) + " ";
      }
    }
    return text;
  };
  EXPECT_EQ(run(), run());
}

TEST(Stall, AStallOfTheDispatcherSuspectsNoEngine) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  for (const bool stalled : {true, false}) {
    ScriptedRouter router(settings);
    router.update_engines(0, {engine(0), engine(1)});
    router.handle(1, {query(1), query(2)});
    const auto sends = router.sends();
    ASSERT_EQ(sends.size(), 2u);
    if (!stalled) router.advance(20'001, 1'800'001);
    router.handle(1'820'001, {AttemptUpdate{1, 0, sends[0].engine, AttemptUpdateKind::kWaitingForMemory, 0},
                              TimerFired{kTickToken}});
    EXPECT_EQ(router.actions_of<Cancel>().size(), stalled ? 0u : 1u);
  }
}

TEST(Stall, RequestsOfAStallHaveWaitedAlready) {
  auto settings = basic_settings();
  settings.classes[0].latency_objective = kSecond;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  auto arrived = query(1);
  arrived.deadline = 5 * kSecond;  // five seconds of patience
  router.handle(0, {arrived});
  auto old = query(2);
  old.deadline = 5 * kSecond + 200'000;  // came at 0.2 s by the same patience
  auto young = query(3);
  young.deadline = 5 * kSecond + 1'900'000;
  router.handle(2 * kSecond, {old, young});
  ASSERT_EQ(router.actions_of<Reject>().size(), 1u);
  EXPECT_EQ(router.actions_of<Reject>()[0].request, 2u);
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].request, 3u);
}

TEST(Stall, ADrainLearntLateIsObserved) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1, 7)});
  auto preferred = engine(router.sends().at(0).engine);
  preferred.state = EngineState::kDraining;
  router.handle(3 * kSecond, {query(2, 7), EngineList{EngineListKind::kDelta, {preferred}}, query(3, 7)});
  ASSERT_EQ(router.sends().size(), 2u);
  for (const auto& one : router.sends()) EXPECT_NE(one.engine, preferred.id);
}

TEST(EngineList, HugeIdsAndUnknownEnginesAreHarmless) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(4'000'000'000u)});
  router.handle(1, {query(1), ProbeEnded{17, Outcome::kServed, 5, LoadReport{}}});
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].engine, 4'000'000'000u);
  router.handle(
      2, {ended(1, 0, 4'000'000'000u, Outcome::kServed), EngineList{EngineListKind::kSnapshot, {engine(1)}}});
  router.handle(3, {query(2)});
  EXPECT_EQ(router.sends().at(0).engine, 1u);
}

TEST(EngineList, ASubscriptionIsRepeatedAfterARejection) {
  auto settings = basic_settings();
  settings.engine_list_mode = EngineListMode::kSubscribed;
  ScriptedRouter router(settings);
  router.handle(0, {EngineList{EngineListKind::kCached, {engine(0)}}});
  EXPECT_EQ(router.actions_of<SubscribeEngineList>().size(), 1u);
  router.handle(1, {EngineList{EngineListKind::kRejected, {}}});
  ASSERT_EQ(router.actions_of<SetTimer>().size(), 1u);
  const auto wake = router.actions_of<SetTimer>()[0];
  router.handle(wake.at, {TimerFired{wake.token}});
  EXPECT_EQ(router.actions_of<SubscribeEngineList>().size(), 1u);
}

TEST(EngineList, APushedListIsNotSubscribedTo) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  EXPECT_EQ(router.actions_of<SubscribeEngineList>().size(), 0u);
}

TEST(UpdateSettings, OpenRequestsKeepTheirClassAndItsAttempts) {
  auto settings = basic_settings();
  settings.classes[0].max_attempts = 2;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {query(1)});
  auto other = settings.classes[0];
  other.idempotency = Idempotency::kNonIdempotent;
  other.max_attempts = 1;
  settings.classes.push_back(other);
  router.update_settings(settings);
  auto non_idempotent = query(2);
  non_idempotent.class_index = 1;
  router.handle(2, {non_idempotent});
  const auto at = router.sends()[0].engine;
  router.handle(3, {ended(1, 0, router.all_sends()[0].engine, Outcome::kError)});
  ASSERT_EQ(router.sends().size(), 1u);  // idempotent, and it has a second attempt
  router.handle(4, {ended(2, 0, at, Outcome::kRejected)});
  EXPECT_TRUE(router.sends().empty());  // it never ran, but had one attempt
  EXPECT_EQ(router.actions_of<Reject>().size(), 1u);
  router.handle(5, {ended(1, 1, router.all_sends()[2].engine, Outcome::kRejected)});
  EXPECT_TRUE(router.sends().empty());
  EXPECT_EQ(router.final_responses(), 1u);
}

TEST(UpdateSettings, AveragesAndHealthAreRetained) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0), engine(1), engine(2)});
  router.handle(1, {query(1, 7)});
  const auto preferred = router.sends()[0].engine;
  router.handle(2, {query(2, 8)});
  const auto unreachable = router.sends()[0].engine;
  ASSERT_NE(unreachable, preferred);
  router.handle(3, {ended(2, 0, unreachable, Outcome::kConnectFailed)});
  EXPECT_EQ(router.avoided_engines(3), 1u);
  auto settings = basic_settings();
  settings.classes[0].priority_weight = 5;
  router.update_settings(settings);
  EXPECT_EQ(router.avoided_engines(3), 1u);
  router.handle(4, {query(3, 7)});
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].engine, preferred);
}

TEST(UpdateSettings, InvalidSettingsChangeNothing) {
  ScriptedRouter router(basic_settings());
  router.update_engines(0, {engine(0)});
  auto settings = basic_settings();
  settings.max_attempts = 0;
  EXPECT_THROW(router.update_settings(settings), InvalidSettings);
  router.handle(1, {query(1)});
  router.handle(2, {ended(1, 0, 0, Outcome::kRejected)});
  EXPECT_EQ(router.final_responses(), 0u);
}

TEST(AvoidedEngines, CountsWhatIsListedAndGetsNothing) {
  ScriptedRouter router(basic_settings());
  auto draining = engine(1);
  draining.state = EngineState::kDraining;
  auto removed = engine(2);
  removed.state = EngineState::kRemoved;
  router.update_engines(0, {engine(0), draining, removed});
  EXPECT_EQ(router.avoided_engines(0), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
