// What an engine that has just started may be sent. Each guard has a test that fails when the guard is taken
// out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(SlowStart, ABurstStaysUnderTheInstancesShare) {
  for (const std::uint32_t instance_count : {1u, 2u}) {
    auto settings = settings_with_slow_start();
    settings.instance_count = instance_count;
    settings.machine_types[0].cores = 64;
    ScriptedRouter router(settings);
    router.update_engines(100 * kSecond, {engine(0, 100 * kSecond)});
    std::vector<Event> burst;
    for (RequestId id = 1; id <= 400; ++id) burst.emplace_back(query_at(100 * kSecond, id, 0, 1'000'000));
    router.handle(103 * kSecond, burst);
    // At most 2 x 0.38 x 64 cores x 1 s over the instances, in queries of one second.
    EXPECT_GE(router.sends().size(), 5u / instance_count);
    EXPECT_LE(router.sends().size(), 48u / instance_count);
  }
}

TEST(SlowStart, ARestartedInstanceTakesTheFirstWindowAsSpent) {
  ScriptedRouter router(settings_with_slow_start());
  router.handle(101 * kSecond, {EngineList{EngineListKind::kCached, {engine(0, 100 * kSecond)}}, query(1)});
  EXPECT_EQ(router.sends().size(), 0u);
}

TEST(SlowStart, AWarmEngineHasNoBudget) {
  ScriptedRouter router(settings_with_slow_start());
  router.update_engines(116 * kSecond, {engine(0, 100 * kSecond)});
  auto arrived = query(1, 0, 5e6);
  arrived.deadline = 400 * kSecond;
  router.handle(117 * kSecond, {arrived});
  EXPECT_EQ(router.sends().size(), 1u);
}

constexpr Time kStartedAt = 5 * kSecond;
constexpr Time kWarmUpPeriod = 15 * kSecond;
constexpr Time kOverloadWindow = kSecond;
constexpr double kWorkOfQuery = 100'000;

// When one of several instances sends queries to an engine that restarts at kStartedAt, while it warms up.
std::vector<Time> sends_while_warming_up(std::uint32_t instance_count, std::uint32_t instance_index) {
  constexpr Time kInterval = 100'000;
  auto settings = instance_settings(instance_count, instance_index);
  settings.slow_start = SlowStart{0.35, kWarmUpPeriod, 2, kOverloadWindow};
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(1));
  RequestId id = 0;
  for (Time now = kStartedAt - kSecond; now < kStartedAt; now += kInterval) {  // the class's mean is learnt
    router.handle(now, {query(++id)});
    router.serve_sends(now);
  }
  router.update_engines(kStartedAt, engine_entries(1, kStartedAt));
  std::vector<Time> sends;
  for (Time now = kStartedAt + 50'000; now < kStartedAt + kWarmUpPeriod; now += kInterval) {
    std::vector<Event> events;
    for (const Send& send : router.sends()) events.emplace_back(ended(send, Outcome::kServed));
    events.emplace_back(query_at(now, ++id));
    router.handle(now, events);
    sends.insert(sends.end(), router.sends().size(), now);
  }
  return sends;
}

// The most that was sent within any overload window, as a share of what the settings allow.
double most_used_budget(const std::vector<Time>& sends) {
  double most_used = 0;
  for (Time from = kStartedAt; from + kOverloadWindow <= kStartedAt + kWarmUpPeriod; from += 50'000) {
    double work = 0;
    for (const Time at : sends) work += at >= from && at < from + kOverloadWindow ? kWorkOfQuery : 0;
    const double elapsed_share = static_cast<double>(from - kStartedAt) / static_cast<double>(kWarmUpPeriod);
    const double capacity = (0.35 + 0.65 * elapsed_share * elapsed_share) * 0.85 * 8 * 1e6;
    most_used = std::max(most_used, work / (2 * capacity));
  }
  return most_used;
}

TEST(SlowStart, ManyInstancesTakeTurnsWithinTheBudgetAndLeaveNoEngineIdle) {
  for (const std::uint32_t instance_count : {3u, 100u, 300u}) {
    std::vector<Time> sends;
    for (std::uint32_t i = 0; i < instance_count; ++i) {
      const auto sends_of_one = sends_while_warming_up(instance_count, i);
      sends.insert(sends.end(), sends_of_one.begin(), sends_of_one.end());
    }
    const double work = static_cast<double>(sends.size()) * kWorkOfQuery;
    EXPECT_LT(most_used_budget(sends), 1.0) << instance_count << " instances";
    // Not nothing: a good part of the engine's capacity.
    EXPECT_GT(work, 0.15 * 15 * 0.85 * 8 * 1e6) << instance_count << " instances";
  }
}

}  // namespace
}  // namespace rookproxy::routing
