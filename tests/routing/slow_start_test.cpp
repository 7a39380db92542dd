// Tests of the limits on engines that have just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(SlowStart, BurstStaysWithinTheInstancesShare) {
  for (const std::uint32_t instances : {1u, 2u}) {
    auto settings = with_slow_start();
    settings.instance_count = instances;
    settings.machine_types[0].cores = 64;
    Script s(settings);
    auto a = engine(0);
    a.started_at = 100 * kSecond;
    s.list(100 * kSecond, {a});
    std::vector<Event> burst;
    for (RequestId id = 1; id <= 400; ++id) {
      burst.push_back(query(id, 0, 1'000'000));
      std::get<RequestArrived>(burst.back()).deadline = 120 * kSecond;
    }
    s.at(103 * kSecond, burst);
    // At most 2 * 0.38 * 64 cores * 1 s over all instances, with queries of one second.
    EXPECT_GE(s.sends().size(), 5u / instances);
    EXPECT_LE(s.sends().size(), 48u / instances);
  }
}

TEST(SlowStart, RestartedInstanceTreatsTheFirstWindowAsSpent) {
  Script s(with_slow_start());
  auto a = engine(0);
  a.started_at = 100 * kSecond;
  s.at(101 * kSecond, {EngineList{EngineListKind::kCached, {a}}, query(1)});
  EXPECT_EQ(s.sends().size(), 0u);
}

TEST(SlowStart, WarmEngineIsNotLimited) {
  Script s(with_slow_start());
  auto a = engine(0);
  a.started_at = 100 * kSecond;
  s.list(116 * kSecond, {a});
  auto q = query(1, 0, 5e6);
  q.deadline = 400 * kSecond;
  s.at(117 * kSecond, {q});
  EXPECT_EQ(s.sends().size(), 1u);
}

TEST(SlowStart, InstancesTogetherStayWithinTheBudgetAndUseTheEngine) {
  for (const std::uint32_t n : {3u, 100u, 300u}) {
    const Time start = 5 * kSecond, warm = 15 * kSecond;
    // Sends of all instances to the warming engine.
    std::vector<std::pair<Time, double>> sent;
    for (std::uint32_t i = 0; i < n; ++i) {
      auto settings = instance_settings(n, i);
      settings.slow_start = SlowStart{0.35, warm, 2, kSecond};
      Script s(settings);
      s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(1)}});
      RequestId id = 0;
      // The instance learns the mean work of the class.
      for (Time t = start - kSecond; t < start; t += 100'000) {
        s.at(t, {query(++id)});
        for (const auto& one : s.sends()) s.at(t, {ended(one.request, 0, 0, Outcome::kServed)});
      }
      s.at(start, {EngineList{EngineListKind::kSnapshot, fleet(1, start)}});
      for (Time t = start + 50'000; t < start + warm; t += 100'000) {
        std::vector<Event> events;
        for (const auto& done : s.sends()) events.push_back(ended(done.request, 0, 0, Outcome::kServed));
        auto q = query(++id);
        q.deadline = t + 20 * kSecond;
        events.push_back(q);
        s.at(t, events);
        for (const auto& one : s.sends()) {
          (void)one;
          sent.emplace_back(t, 100'000);
        }
      }
    }
    double most_used = 0, total_work = 0;
    for (Time from = start; from + kSecond <= start + warm; from += 50'000) {
      double work_in_window = 0;
      for (const auto& [at, work] : sent) work_in_window += at >= from && at < from + kSecond ? work : 0;
      const double x = static_cast<double>(from - start) / static_cast<double>(warm);
      const double capacity = (0.35 + 0.65 * x * x) * 0.85 * 8 * 1e6;
      most_used = std::max(most_used, work_in_window / (2 * capacity));
    }
    for (const auto& one : sent) total_work += one.second;
    EXPECT_LT(most_used, 1.0) << n << " instances";
    // At least 15% of the engine's capacity is used.
    EXPECT_GT(total_work, 0.15 * 15 * 0.85 * 8 * 1e6) << n << " instances";
  }
}

}  // namespace
}  // namespace rookproxy::routing
