// How many requests run on an engine, and on all of them together. Each guard has a test that fails when the
// guard is taken out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(ConcurrencyLimit, CountsThreadsOfOurShareOfAnEngine) {
  auto settings = basic_settings();
  settings.instance_count = 2;
  settings.instance_index = 0;
  Script s(settings);
  s.list(0, {engine(0)});
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 30; ++id) burst.push_back(query(id));
  s.at(1, burst);
  EXPECT_EQ(s.sends().size(), 8u);  // two threads a core, 8 cores, half of it ours
}

TEST(ConcurrencyLimit, HoldsAtLeastOneQuery) {
  auto settings = basic_settings();
  settings.instance_count = 100;
  settings.classes[0].threads = 4;
  Script s(settings);
  s.list(0, {engine(0)});
  s.at(1, {query(1), query(2)});
  EXPECT_EQ(s.sends().size(), 1u);
}

TEST(ConcurrencyLimit, ThePreferredEngineIsUsedBeforeAnIdleOneSteals) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1), engine(2), engine(3)});
  s.at(1, {query(1, 3)});
  const auto preferred = s.sends()[0].engine;
  for (RequestId id = 2; id < 10; ++id) {
    s.at(static_cast<Time>(id), {query(id, 3)});
    EXPECT_EQ(s.sends()[0].engine, preferred);
  }
}

TEST(ConcurrencyLimit, MemoryGrantsStayWithinOurPartOfAnEnginesMemory) {
  // Two gateways that are both told of room and both fill it push an engine into paging, which slows all on
  // it.
  auto settings = basic_settings();
  settings.instance_count = 2;
  settings.memory_grants_supported = true;
  settings.memory_pressure = MemoryPressure::kPage;
  settings.machine_types = {{"k0", 64.0, 16384.0}};
  Script s(settings);
  s.list(0, {engine(0)});
  std::vector<Event> one_of_many;
  for (RequestId id = 1; id <= 20; ++id) {
    RequestArrived one = query(id);
    one.memory_mb = 1024;
    one_of_many.push_back(one);
  }
  s.at(1, one_of_many);
  // 8,192 MB are ours; a grant is a quarter over the estimate at first.
  EXPECT_EQ(s.sends().size(), 6u);
  s.at(2, {ended(1, 0, 0, Outcome::kServed)});
  EXPECT_EQ(s.sends().size(), 1u);  // what it held is free again
  // One that never fits is not held back for ever: it may have the engine to itself.
  Script lone(settings);
  lone.list(0, {engine(0)});
  RequestArrived large = query(1);
  large.memory_mb = 9000;
  lone.at(1, {large});
  EXPECT_EQ(lone.sends().size(), 1u);
}

TEST(ConcurrencyLimit, TheAggregateBoundsWhereEachEnginesLimitIsLessThanAQuery) {
  Script s(one_of_many(100));
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 60; ++id) burst.push_back(query(id, id));
  s.at(1, burst);
  EXPECT_GE(s.sends().size(), 4u);  // 30 engines x 16 threads / 100 gateways, and room for chance
  EXPECT_LE(s.sends().size(), 14u);
}

// All gateways of a fleet side by side, each with more queries than it may send; every one ends after 400 ms
// without a word of how the engines do, so the sum stays as it starts. What is out on `engines` a core, on
// average from `from` on, all gateways together.
double threads_per_core(std::uint32_t gateways, const std::vector<EngineEntry>& list,
                        const std::vector<EngineEntry>& engines, Time from, Time until, int threads = 1) {
  constexpr Time kStep = 100'000, kTakes = 400'000;
  double held = 0, samples = 0;
  for (std::uint32_t i = 0; i < gateways; ++i) {
    auto settings = one_of_many(gateways, i);
    settings.slow_start = SlowStart{0.3, 15 * kSecond, 3, 1'500'000};
    settings.classes[0].threads = threads;
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, list}});
    std::map<RequestId, Send> out;
    std::map<RequestId, Time> since;
    RequestId id = 0;
    for (Time t = 1; t < until; t += kStep) {
      std::vector<Event> events = {TimerFired{1}};
      for (int k = 0; k < 2; ++k) {
        ++id;
        auto q = query(id, id * 2654435761u % 97);
        q.deadline = t + 20 * kSecond;
        events.push_back(q);
      }
      for (const auto& [request, send] : out) {
        if (t - since[request] < kTakes) continue;
        auto gone = ended(request, 0, send.engine, Outcome::kCancelled);
        gone.completed = true;
        events.push_back(gone);
      }
      for (const auto& event : events) {
        if (const auto* end = std::get_if<AttemptEnded>(&event)) out.erase(end->request);
      }
      s.at(t, events);
      for (const auto& one : s.sends()) out[one.request] = one, since[one.request] = t;
      if (t < from) continue;
      samples += 1.0 / gateways;
      for (const auto& [request, send] : out) {
        held += std::any_of(engines.begin(), engines.end(), [&](auto& e) { return e.id == send.engine; });
      }
    }
  }
  return threads * held / samples / (8 * static_cast<double>(engines.size()));
}

TEST(ConcurrencyLimit, RoomForChanceDoesNotLastOrAllInstancesUseItAtOnce) {
  const auto engines = fleet(12);
  const double held = threads_per_core(100, engines, engines, 10 * kSecond, 14 * kSecond);
  EXPECT_LT(held, 3);  // two threads a core, a little more while answers come in time; was 6
  EXPECT_GT(held, 1.2);
}

TEST(ConcurrencyLimit, WideQueriesDoNotOvershootAnAggregateOfFewThreads) {
  const auto engines = fleet(12);
  EXPECT_LT(threads_per_core(60, engines, engines, 10 * kSecond, 14 * kSecond, 2), 2);  // was 2.5, of two
}

// One gateway of 100 that is asked for three times what its even part holds, half of it in light queries;
// every `late`th answer is late. The threads that it has out after 20 s, on average.
double threads_of_a_busy_instance(int late) {
  auto settings = one_of_many(100);
  settings.classes[0].latency_objective = kSecond;
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].name = "heavy", settings.classes[1].latency_objective = 15 * kSecond,
  settings.classes[1].priority_weight = 20;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
  std::map<RequestId, std::pair<EngineId, Time>> out;  // where, and when it is done
  double held = 0, samples = 0;
  RequestId id = 0;
  for (Time t = 1; t < 14 * kSecond; t += 50'000) {
    std::vector<Event> events = {TimerFired{1}};
    for (const auto& [request, one] : out) {
      if (t >= one.second) events.push_back(ended(request, 0, one.first, Outcome::kServed));
    }
    for (const auto& event : events) {
      if (const auto* end = std::get_if<AttemptEnded>(&event)) out.erase(end->request);
    }
    for (const bool heavy : {false, true}) {
      ++id;
      auto q = query(id, id % 9, heavy ? 400'000 : 20'000);
      q.class_index = heavy;
      q.deadline = t + 20 * kSecond;
      events.push_back(q);
    }
    s.at(t, events);
    for (const auto& one : s.sends()) {
      const bool is_late = late > 0 && one.request % static_cast<RequestId>(late) == 1;
      out[one.request] = {one.engine, t + (is_late ? 1'200'000 : one.request % 2 == 1 ? 50'000 : 600'000)};
    }
    if (t > 10 * kSecond) held += static_cast<double>(out.size()), ++samples;
  }
  return held / samples;
}

TEST(ConcurrencyLimit, ABusyInstanceGrowsBeyondItsPartWhileResponsesComeInTime) {
  EXPECT_GT(threads_of_a_busy_instance(0), 9);  // of 13 asked for; its even part is 4.8
  EXPECT_LT(threads_of_a_busy_instance(6),
            7);  // a third of the light answers is late: engines are at their end
}

TEST(ConcurrencyLimit, EnginesThatWarmUpStandOutsideTheAggregate) {
  auto list = fleet(30);
  for (std::size_t i = 12; i < list.size(); ++i) list[i].started_at = 1;
  const std::vector<EngineEntry> warm(list.begin(), list.begin() + 12), cold(list.begin() + 12, list.end());
  const double alone = threads_per_core(100, warm, warm, 8 * kSecond, 11 * kSecond);
  const double beside = threads_per_core(100, list, warm, 8 * kSecond, 11 * kSecond);
  EXPECT_LT(beside,
            1.1 * alone);  // 18 that can hardly be sent to give the others no more to bear; was 1.9 times
  EXPECT_GT(threads_per_core(100, list, cold, 8 * kSecond, 11 * kSecond), 0.1);
}

TEST(ConcurrencyLimit, WhatWasSentTooLateLeavesTheAggregateAlone) {
  for (const bool late : {false, true}) {
    auto settings = one_of_many(100);
    settings.classes[0].late_weight = 0.5;
    settings.progress_interval.reset();
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    Time now = 1;
    RequestId id = 0;
    for (int i = 0; i < 30; ++i) {  // each answered past its aim of 10 s; sent after it where `late`
      auto q = query(++id, 7);
      q.deadline = now + 20 * kSecond;
      if (late) s.at(now, {EngineList{EngineListKind::kSnapshot, {}}});
      s.at(now, {q});
      s.wait(now + 20'000, now + 10'500'000);
      now += 10'520'000;
      if (late) s.at(now, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
      ASSERT_EQ(s.all_sends.size(), static_cast<std::size_t>(i) + 1);
      s.at(now + 20'000, {ended(id, 0, s.all_sends.back().engine, Outcome::kServed)});
      now += 40'000;
    }
    const auto before = s.all_sends.size();
    std::vector<Event> burst;
    for (int i = 0; i < 40; ++i) {
      auto q = query(++id, 100 + static_cast<std::uint64_t>(i));
      q.deadline = now + 20 * kSecond;
      burst.push_back(q);
    }
    s.at(now, burst);
    const auto room = s.all_sends.size() - before;
    if (late) {
      EXPECT_GE(room, 6u);
    } else {
      EXPECT_LE(room, 4u);
    }
  }
}

// Queries that get no answer, one after another; then how many of a burst are sent.
std::size_t room_after_unanswered(Script& s, int unanswered, Outcome outcome, Time now) {
  RequestId id = 0;
  for (int i = 0; i < unanswered; ++i, now += kSecond) {
    ++id;
    auto q = query(id, id);
    q.deadline = now + 500'000;
    s.at(now, {q});
    if (s.sends().empty()) continue;
    const auto engine = s.sends()[0].engine;
    s.wait(now + 20'000, now + 480'000);
    s.at(now + 490'000, {ended(id, 0, engine, outcome)});
    s.wait(now + 500'000, now + kSecond - 20'000);
  }
  std::vector<Event> burst;
  for (int i = 0; i < 40; ++i) {
    ++id;
    auto q = query(id, id);
    q.deadline = now + 20 * kSecond;
    burst.push_back(q);
  }
  const auto before = s.all_sends.size();
  s.at(now, burst);
  return s.all_sends.size() - before;
}

TEST(ConcurrencyLimit, TimeoutsAndRejectionsNarrowTheAggregate) {
  for (const auto outcome : {Outcome::kServed, Outcome::kNoResponse, Outcome::kRejected}) {
    Script s(one_of_many(100));
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    const auto room = room_after_unanswered(s, 25, outcome, 1);
    EXPECT_EQ(room >= 6, outcome == Outcome::kServed) << room;
    EXPECT_EQ(room <= 3, outcome != Outcome::kServed) << room;
  }
}

TEST(ConcurrencyLimit, UnderANarrowAggregateOneWideQueryDoesNotFollowAnother) {
  auto settings = one_of_many(300);
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].threads = 8;
  settings.classes[1].latency_objective = 60 * kSecond;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
  room_after_unanswered(s, 40, Outcome::kNoResponse, 1);
  std::vector<Event> gone;
  for (RequestId id = 1; id <= 80; ++id) gone.push_back(ClientDisconnected{id});
  Time now = 41 * kSecond;
  s.at(now, gone);
  std::vector<Event> ends;
  for (const auto& one : s.all_sends) ends.push_back(ended(one.request, 0, one.engine, Outcome::kCancelled));
  s.at(now, ends);
  now += 60 * kSecond;
  const auto wide = [&](RequestId id) {
    auto q = query(id, id);
    q.class_index = 1;
    q.deadline = now + 60 * kSecond;
    s.at(now, {q});
    return s.sends();
  };
  const auto first = wide(1000);
  ASSERT_EQ(first.size(), 1u);
  now += 8 * kSecond;
  s.at(now, {ended(1000, 0, first[0].engine, Outcome::kError)});
  s.at(now, {ClientDisconnected{1000}});
  EXPECT_EQ(wide(1001).size(), 0u);  // its threads are still in the mean of what we used
  const auto before = s.all_sends.size();
  s.wait(now + 20'000, now + 40 * kSecond);
  EXPECT_GT(s.all_sends.size(), before);
}

TEST(ConcurrencyLimit, AnInstanceWithMuchOfTheTrafficHasItsPartOfTheLimits) {
  std::size_t room[2];
  for (const int busy : {0, 1}) {
    auto settings = one_of_many(100);
    settings.tenants = {{"a", 50, 0.5}, {"b", 50, 0.5}};  // 100 a second; one each, were they even
    settings.over_quota_weight = 0.1;
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    RequestId id = 0;
    Time now = 1;
    for (; now < 20 * kSecond; now += busy ? 100'000 : 2 * kSecond) {  // ten a second or one in two
      ++id;
      auto q = query(id, id);
      q.tenant = static_cast<std::uint32_t>(id % 2);
      q.deadline = now + 20 * kSecond;
      s.at(now, {q, TimerFired{1}});
      for (const auto& one : s.sends()) s.at(now, {ended(one.request, 0, one.engine, Outcome::kServed)});
    }
    std::vector<Event> burst;
    for (int i = 0; i < 80; ++i) {
      ++id;
      auto q = query(id, id);
      q.tenant = static_cast<std::uint32_t>(id % 2);
      q.deadline = now + 20 * kSecond;
      burst.push_back(q);
    }
    const auto before = s.all_sends.size();
    s.at(now, burst);
    room[busy] = s.all_sends.size() - before;
  }
  EXPECT_GE(room[1], 3 * room[0]);
}

}  // namespace
}  // namespace rookproxy::routing
