// The router from scripted events: responses, lists, stalls, other settings. Each guard has a test that fails
// when the guard is taken out.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(WorkStealing, AnIdleEngineTakesTheOldestOfTheLongestQueue) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 1;  // a window of two threads
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

TEST(Responses, OneAtTheDeadlineWithNoEngine) {
  Script s(basic_settings());
  s.at(1, {query(1)});
  EXPECT_EQ(s.sends().size(), 0u);
  s.wait(20'000, 21 * kSecond);
  EXPECT_EQ(s.final_responses(), 1u);
}

TEST(Responses, OneAtTheDeadlineOfAnAttemptWithoutResponse) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1)});
  s.at(20 * kSecond, {ended(1, 0, 0, Outcome::kNoResponse)});
  EXPECT_EQ(s.all<Fail>().size(), 1u);
  s.at(20 * kSecond + 1, {ended(1, 0, 0, Outcome::kNoResponse), TimerFired{9}});
  EXPECT_EQ(s.final_responses(), 0u);
}

TEST(Responses, TheDeadlineTimerEndsAnAttemptWithoutOutcome) {
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

TEST(Responses, NothingIsSentAfterTheEnd) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1)});
  s.at(2, {ClientDisconnected{1}});
  s.at(3, {ended(1, 0, 0, Outcome::kRejected)});
  EXPECT_EQ(s.sends().size(), 0u);
  EXPECT_EQ(s.final_responses(), 0u);
}

TEST(Responses, UnknownAndRepeatedEventsAreHarmless) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  s.at(1, {query(1), query(1), ended(9, 0, 0, Outcome::kServed), ended(1, 5, 0, Outcome::kServed),
           AttemptUpdate{9, 0, 0, AttemptUpdateKind::kProgress, 0.5}, TimerFired{12345},
           ClientDisconnected{77}});
  EXPECT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.final_responses(), 0u);
}

TEST(Responses, HopelessWorkIsRejectedAtOnceWithARetryTime) {
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

TEST(Responses, WhatItsClassesUsualLatencyDoesNotFitIsRejectedAtOnce) {
  // An engine's work that comes too late anyway: its run alone would fit, but not what such runs take of
  // late.
  Script s(basic_settings());
  s.list(0, {engine(0)});
  auto hopeless = query(1);
  hopeless.deadline = 120'000;  // 100 ms of work, 1.5 times that before anything is known
  auto fits = query(2);
  fits.deadline = 160'000;
  s.at(1, {hopeless, fits});
  ASSERT_EQ(s.all<Reject>().size(), 1u);
  EXPECT_EQ(s.all<Reject>()[0].request, 1u);
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].request, 2u);
}

TEST(Drain, NothingGoesToADrainingRemovedOrUnlistedEngine) {
  for (const int how : {0, 1, 2}) {
    Script s(basic_settings());
    s.list(0, {engine(0), engine(1)});
    auto a = engine(0);
    a.state = how == 0 ? EngineState::kDraining : EngineState::kRemoved;
    if (how == 2) {
      s.list(1, {engine(1)});
    } else {
      s.list(1, {a}, EngineListKind::kDelta);
    }
    for (RequestId id = 1; id < 40; ++id) s.at(static_cast<Time>(id + 1), {query(id, id)});
    for (const auto& send : s.all_sends) EXPECT_EQ(send.engine, 1u);
    EXPECT_GE(s.all_sends.size(), 16u);
  }
}

TEST(Drain, WhatWaitsThereMoves) {
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

TEST(Responses, WhatNobodyWaitsForIsCancelled) {
  for (const auto effect : {Idempotency::kIdempotent, Idempotency::kNonIdempotent}) {
    auto settings = basic_settings();
    settings.classes[0].idempotency = effect;
    Script s(settings);
    s.list(0, {engine(0)});
    s.at(1, {query(1)});
    s.at(2, {ClientDisconnected{1}});
    EXPECT_EQ(s.all<Cancel>().size(), effect == Idempotency::kIdempotent ? 1u : 0u);
  }
}

TEST(Deterministic, TheSameEventsGiveTheSameActions) {
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

TEST(Stall, AStallOfOurOwnBlamesNoEngine) {
  auto settings = basic_settings();
  settings.progress_interval = 500'000;
  for (const bool stands_still : {true, false}) {
    Script s(settings);
    s.list(0, {engine(0), engine(1)});
    s.at(1, {query(1), query(2)});
    const auto sends = s.sends();
    ASSERT_EQ(sends.size(), 2u);
    if (!stands_still) s.wait(20'001, 1'800'001);
    s.at(1'820'001,
         {AttemptUpdate{1, 0, sends[0].engine, AttemptUpdateKind::kWaitingForMemory, 0}, TimerFired{1}});
    EXPECT_EQ(s.all<Cancel>().size(), stands_still ? 0u : 1u);
  }
}

TEST(Stall, WhatCameMeanwhileHasWaitedAlready) {
  auto settings = basic_settings();
  settings.classes[0].latency_objective = kSecond;
  Script s(settings);
  s.list(0, {engine(0)});
  auto q = query(1);
  q.deadline = 5 * kSecond;  // five seconds of patience
  s.at(0, {q});
  auto old = query(2);
  old.deadline = 5 * kSecond + 200'000;  // came at 0.2 s by the same patience
  auto young = query(3);
  young.deadline = 5 * kSecond + 1'900'000;
  s.at(2 * kSecond, {old, young});
  ASSERT_EQ(s.all<Reject>().size(), 1u);
  EXPECT_EQ(s.all<Reject>()[0].request, 2u);
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].request, 3u);
}

TEST(Stall, ADrainLearntLateIsKept) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1, 7)});
  auto preferred = engine(s.sends().at(0).engine);
  preferred.state = EngineState::kDraining;
  s.at(3 * kSecond, {query(2, 7), EngineList{EngineListKind::kDelta, {preferred}}, query(3, 7)});
  ASSERT_EQ(s.sends().size(), 2u);
  for (const auto& one : s.sends()) EXPECT_NE(one.engine, preferred.id);
}

TEST(EngineList, HugeIdsAndUnknownEnginesAreHarmless) {
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

TEST(EngineList, ASubscriptionIsRepeatedAfterARejection) {
  auto settings = basic_settings();
  settings.engine_list_mode = EngineListMode::kSubscribed;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kCached, {engine(0)}}});
  EXPECT_EQ(s.all<SubscribeEngineList>().size(), 1u);
  s.at(1, {EngineList{EngineListKind::kRejected, {}}});
  ASSERT_EQ(s.all<SetTimer>().size(), 1u);
  const auto wake = s.all<SetTimer>()[0];
  s.at(wake.at, {TimerFired{wake.token}});
  EXPECT_EQ(s.all<SubscribeEngineList>().size(), 1u);
}

TEST(EngineList, APushedListIsNotSubscribedTo) {
  Script s(basic_settings());
  s.list(0, {engine(0)});
  EXPECT_EQ(s.all<SubscribeEngineList>().size(), 0u);
}

TEST(UpdateSettings, OpenRequestsKeepTheirClassAndItsAttempts) {
  auto settings = basic_settings();
  settings.classes[0].max_attempts = 2;
  Script s(settings);
  s.list(0, {engine(0), engine(1)});
  s.at(1, {query(1)});
  auto other = settings.classes[0];
  other.idempotency = Idempotency::kNonIdempotent, other.max_attempts = 1;
  settings.classes.push_back(other);
  s.router().update_settings(settings);
  auto unsafe = query(2);
  unsafe.class_index = 1;
  s.at(2, {unsafe});
  const auto at = s.sends()[0].engine;
  s.at(3, {ended(1, 0, s.all_sends[0].engine, Outcome::kError)});
  ASSERT_EQ(s.sends().size(), 1u);  // safe, and it has a second attempt
  s.at(4, {ended(2, 0, at, Outcome::kRejected)});
  EXPECT_TRUE(s.sends().empty());  // it never ran, but had one attempt
  EXPECT_EQ(s.all<Reject>().size(), 1u);
  s.at(5, {ended(1, 1, s.all_sends[2].engine, Outcome::kRejected)});
  EXPECT_TRUE(s.sends().empty());
  EXPECT_EQ(s.final_responses(), 1u);
}

TEST(UpdateSettings, AveragesAndHealthAreKept) {
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

TEST(AvoidedEngines, CountsWhatIsListedAndGetsNothing) {
  Script s(basic_settings());
  auto draining = engine(1), gone = engine(2);
  draining.state = EngineState::kDraining, gone.state = EngineState::kRemoved;
  s.list(0, {engine(0), draining, gone});
  EXPECT_EQ(s.router().avoided_engines(0), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
