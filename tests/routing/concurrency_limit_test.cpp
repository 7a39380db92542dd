// Tests of the concurrency limits of one engine and of all engines together.
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

TEST(ConcurrencyLimit, EngineIsLimitedToTheInstancesShareOfThreads) {
  auto settings = basic_settings();
  settings.instance_count = 2;
  settings.instance_index = 0;
  Script s(settings);
  s.list(0, {engine(0)});
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 30; ++id) burst.push_back(query(id));
  s.at(1, burst);
  EXPECT_EQ(s.sends().size(), 8u);  // Two threads per core, 8 cores, half of them for this instance.
}

TEST(ConcurrencyLimit, AllowsAtLeastOneQuery) {
  auto settings = basic_settings();
  settings.instance_count = 100;
  settings.classes[0].threads = 4;
  Script s(settings);
  s.list(0, {engine(0)});
  s.at(1, {query(1), query(2)});
  EXPECT_EQ(s.sends().size(), 1u);
}

TEST(ConcurrencyLimit, PreferredEngineIsFilledBeforeIdleEnginesSteal) {
  Script s(basic_settings());
  s.list(0, {engine(0), engine(1), engine(2), engine(3)});
  s.at(1, {query(1, 3)});
  const auto preferred = s.sends()[0].engine;
  for (RequestId id = 2; id < 10; ++id) {
    s.at(static_cast<Time>(id), {query(id, 3)});
    EXPECT_EQ(s.sends()[0].engine, preferred);
  }
}

TEST(ConcurrencyLimit, MemoryGrantsStayWithinTheInstancesShareOfEngineMemory) {
  // Two instances that both see free memory and fill it make an engine page, which slows down all queries on
  // it.
  auto settings = basic_settings();
  settings.instance_count = 2;
  settings.memory_grants_supported = true;
  settings.memory_pressure = MemoryPressure::kPage;
  settings.machine_types = {{"k0", 64.0, 16384.0}};
  Script s(settings);
  s.list(0, {engine(0)});
  std::vector<Event> queries;
  for (RequestId id = 1; id <= 20; ++id) {
    RequestArrived one = query(id);
    one.memory_mb = 1024;
    queries.push_back(one);
  }
  s.at(1, queries);
  // This instance has 8,192 MB; the initial grant is 1.25 times the estimate.
  EXPECT_EQ(s.sends().size(), 6u);
  s.at(2, {ended(1, 0, 0, Outcome::kServed)});
  EXPECT_EQ(s.sends().size(), 1u);  // Its grant is free again.
  // A query that never fits may run alone on the engine.
  Script alone_on_engine(settings);
  alone_on_engine.list(0, {engine(0)});
  RequestArrived large = query(1);
  large.memory_mb = 9000;
  alone_on_engine.at(1, {large});
  EXPECT_EQ(alone_on_engine.sends().size(), 1u);
}

TEST(ConcurrencyLimit, AggregateLimitAppliesWhenEngineLimitsAreBelowOneQuery) {
  Script s(instance_settings(100));
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 60; ++id) burst.push_back(query(id, id));
  s.at(1, burst);
  EXPECT_GE(s.sends().size(), 4u);  // 30 engines * 16 threads / 100 instances, and the burst allowance.
  EXPECT_LE(s.sends().size(), 14u);
}

// Returns the mean number of threads per core on `engines` from `from` until `until`, over all instances of a
// fleet. Each instance has more queries than it may send. A query ends after 400 ms with an outcome that does
// not change the limits.
double threads_per_core(std::uint32_t instances, const std::vector<EngineEntry>& list,
                        const std::vector<EngineEntry>& engines, Time from, Time until, int threads = 1) {
  constexpr Time kStep = 100'000, kRunTime = 400'000;
  double usage = 0, samples = 0;
  for (std::uint32_t i = 0; i < instances; ++i) {
    auto settings = instance_settings(instances, i);
    settings.slow_start = SlowStart{0.3, 15 * kSecond, 3, 1'500'000};
    settings.classes[0].threads = threads;
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, list}});
    std::map<RequestId, Send> in_flight;
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
      for (const auto& [request, send] : in_flight) {
        if (t - since[request] < kRunTime) continue;
        auto done = ended(request, 0, send.engine, Outcome::kCancelled);
        done.completed = true;
        events.push_back(done);
      }
      for (const auto& event : events) {
        if (const auto* end = std::get_if<AttemptEnded>(&event)) in_flight.erase(end->request);
      }
      s.at(t, events);
      for (const auto& one : s.sends()) in_flight[one.request] = one, since[one.request] = t;
      if (t < from) continue;
      samples += 1.0 / instances;
      for (const auto& [request, send] : in_flight) {
        usage += std::any_of(engines.begin(), engines.end(), [&](auto& e) { return e.id == send.engine; });
      }
    }
  }
  return threads * usage / samples / (8 * static_cast<double>(engines.size()));
}

TEST(ConcurrencyLimit, BurstAllowanceIsNotAvailableUnderSustainedLoad) {
  const auto engines = fleet(12);
  const double usage = threads_per_core(100, engines, engines, 10 * kSecond, 14 * kSecond);
  EXPECT_LT(usage, 3);  // Two threads per core, and little more.
  EXPECT_GT(usage, 1.2);
}

TEST(ConcurrencyLimit, MultiThreadedQueriesDoNotOvershootSmallAggregateLimit) {
  const auto engines = fleet(12);
  EXPECT_LT(threads_per_core(60, engines, engines, 10 * kSecond, 14 * kSecond, 2), 2);
}

// Returns the mean number of threads used after 10 s by one of 100 instances that gets three times the
// traffic of its even share, half of it light queries. Every `late`th response is late.
double threads_of_a_busy_instance(int late) {
  auto settings = instance_settings(100);
  settings.classes[0].latency_objective = kSecond;
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].name = "heavy", settings.classes[1].latency_objective = 15 * kSecond,
  settings.classes[1].priority_weight = 20;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
  std::map<RequestId, std::pair<EngineId, Time>> in_flight;  // The engine, and the time of the response.
  double usage = 0, samples = 0;
  RequestId id = 0;
  for (Time t = 1; t < 14 * kSecond; t += 50'000) {
    std::vector<Event> events = {TimerFired{1}};
    for (const auto& [request, one] : in_flight) {
      if (t >= one.second) events.push_back(ended(request, 0, one.first, Outcome::kServed));
    }
    for (const auto& event : events) {
      if (const auto* end = std::get_if<AttemptEnded>(&event)) in_flight.erase(end->request);
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
      in_flight[one.request] = {one.engine, t + (is_late                ? 1'200'000
                                                 : one.request % 2 == 1 ? 50'000
                                                                        : 600'000)};
    }
    if (t > 10 * kSecond) usage += static_cast<double>(in_flight.size()), ++samples;
  }
  return usage / samples;
}

TEST(ConcurrencyLimit, BusyInstanceExceedsItsShareWhileResponsesAreInTime) {
  EXPECT_GT(threads_of_a_busy_instance(0), 9);  // 13 are requested; an even share is 4.8.
  // A third of the light responses is late.
  EXPECT_LT(threads_of_a_busy_instance(6), 7);
}

TEST(ConcurrencyLimit, WarmingEnginesDoNotCountTowardTheAggregateLimit) {
  auto list = fleet(30);
  for (std::size_t i = 12; i < list.size(); ++i) list[i].started_at = 1;
  const std::vector<EngineEntry> warm(list.begin(), list.begin() + 12), cold(list.begin() + 12, list.end());
  const double without_warming = threads_per_core(100, warm, warm, 8 * kSecond, 11 * kSecond);
  const double with_warming = threads_per_core(100, list, warm, 8 * kSecond, 11 * kSecond);
  // The 18 warming engines add no load to the others.
  EXPECT_LT(with_warming, 1.1 * without_warming);
  EXPECT_GT(threads_per_core(100, list, cold, 8 * kSecond, 11 * kSecond), 0.1);
}

TEST(ConcurrencyLimit, LateResponsesToRequestsSentLateDoNotLowerTheAggregateLimit) {
  for (const bool late : {false, true}) {
    auto settings = instance_settings(100);
    settings.classes[0].late_weight = 0.5;
    settings.progress_interval.reset();
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    Time now = 1;
    RequestId id = 0;
    // Each response comes after the objective of 10 s; if `late`, the request is sent after it as well.
    for (int i = 0; i < 30; ++i) {
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
    const auto sent_in_burst = s.all_sends.size() - before;
    if (late) {
      EXPECT_GE(sent_in_burst, 6u);
    } else {
      EXPECT_LE(sent_in_burst, 4u);
    }
  }
}

// Sends queries that get no successful response, one after another, and returns how many queries of a
// subsequent burst are sent.
std::size_t sends_after_unanswered(Script& s, int unanswered, Outcome outcome, Time now) {
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

TEST(ConcurrencyLimit, TimeoutsAndRejectionsLowerTheAggregateLimit) {
  for (const auto outcome : {Outcome::kServed, Outcome::kNoResponse, Outcome::kRejected}) {
    Script s(instance_settings(100));
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    const auto sent_in_burst = sends_after_unanswered(s, 25, outcome, 1);
    EXPECT_EQ(sent_in_burst >= 6, outcome == Outcome::kServed) << sent_in_burst;
    EXPECT_EQ(sent_in_burst <= 3, outcome != Outcome::kServed) << sent_in_burst;
  }
}

TEST(ConcurrencyLimit, LowAggregateLimitSeparatesMultiThreadedQueries) {
  auto settings = instance_settings(300);
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].threads = 8;
  settings.classes[1].latency_objective = 60 * kSecond;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
  sends_after_unanswered(s, 40, Outcome::kNoResponse, 1);
  std::vector<Event> done;
  for (RequestId id = 1; id <= 80; ++id) done.push_back(ClientDisconnected{id});
  Time now = 41 * kSecond;
  s.at(now, done);
  std::vector<Event> ends;
  for (const auto& one : s.all_sends) ends.push_back(ended(one.request, 0, one.engine, Outcome::kCancelled));
  s.at(now, ends);
  now += 60 * kSecond;
  const auto send_wide = [&](RequestId id) {
    auto q = query(id, id);
    q.class_index = 1;
    q.deadline = now + 60 * kSecond;
    s.at(now, {q});
    return s.sends();
  };
  const auto first = send_wide(1000);
  ASSERT_EQ(first.size(), 1u);
  now += 8 * kSecond;
  s.at(now, {ended(1000, 0, first[0].engine, Outcome::kError)});
  s.at(now, {ClientDisconnected{1000}});
  EXPECT_EQ(send_wide(1001).size(), 0u);  // Its threads still count in the mean usage.
  const auto before = s.all_sends.size();
  s.wait(now + 20'000, now + 40 * kSecond);
  EXPECT_GT(s.all_sends.size(), before);
}

TEST(ConcurrencyLimit, InstanceWithMoreTrafficGetsHigherLimits) {
  std::size_t sent_in_burst[2];
  for (const int busy : {0, 1}) {
    auto settings = instance_settings(100);
    // 100 per second; one per instance if traffic were even.
    settings.tenants = {{"a", 50, 0.5}, {"b", 50, 0.5}};
    settings.over_quota_weight = 0.1;
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(30)}});
    RequestId id = 0;
    Time now = 1;
    // Ten requests per second, or one every two seconds.
    for (; now < 20 * kSecond; now += busy ? 100'000 : 2 * kSecond) {
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
    sent_in_burst[busy] = s.all_sends.size() - before;
  }
  EXPECT_GE(sent_in_burst[1], 3 * sent_in_burst[0]);
}

}  // namespace
}  // namespace rookproxy::routing
