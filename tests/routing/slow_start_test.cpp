// What an engine that has just started may be sent. Each guard has a test that fails when the guard is taken
// out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(SlowStart, ABurstStaysUnderOurShare) {
  for (const std::uint32_t routers : {1u, 2u}) {
    auto settings = with_slow_start();
    settings.instance_count = routers;
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
    // At most 2 x 0.38 x 64 cores x 1 s over the gateways, in queries of one second.
    EXPECT_GE(s.sends().size(), 5u / routers);
    EXPECT_LE(s.sends().size(), 48u / routers);
  }
}

TEST(SlowStart, ARestartedInstanceTakesTheFirstWindowAsSpent) {
  Script s(with_slow_start());
  auto a = engine(0);
  a.started_at = 100 * kSecond;
  s.at(101 * kSecond, {EngineList{EngineListKind::kCached, {a}}, query(1)});
  EXPECT_EQ(s.sends().size(), 0u);
}

TEST(SlowStart, AWarmEngineHasNoBudget) {
  Script s(with_slow_start());
  auto a = engine(0);
  a.started_at = 100 * kSecond;
  s.list(116 * kSecond, {a});
  auto q = query(1, 0, 5e6);
  q.deadline = 400 * kSecond;
  s.at(117 * kSecond, {q});
  EXPECT_EQ(s.sends().size(), 1u);
}

TEST(SlowStart, ManyInstancesTakeTurnsWithinTheBudgetAndLeaveNoEngineIdle) {
  for (const std::uint32_t n : {3u, 100u, 300u}) {
    const Time start = 5 * kSecond, warm = 15 * kSecond;
    std::vector<std::pair<Time, double>> sent;  // what all gateways send the cold engine
    for (std::uint32_t i = 0; i < n; ++i) {
      auto settings = one_of_many(n, i);
      settings.slow_start = SlowStart{0.35, warm, 2, kSecond};
      Script s(settings);
      s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(1)}});
      RequestId id = 0;
      for (Time t = start - kSecond; t < start; t += 100'000) {  // the class's mean is learnt
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
    double most_used = 0, all = 0;
    for (Time from = start; from + kSecond <= start + warm; from += 50'000) {
      double in_span = 0;
      for (const auto& [at, work] : sent) in_span += at >= from && at < from + kSecond ? work : 0;
      const double x = static_cast<double>(from - start) / static_cast<double>(warm);
      const double capacity = (0.35 + 0.65 * x * x) * 0.85 * 8 * 1e6;
      most_used = std::max(most_used, in_span / (2 * capacity));
    }
    for (const auto& one : sent) all += one.second;
    EXPECT_LT(most_used, 1.0) << n << " gateways";
    EXPECT_GT(all, 0.15 * 15 * 0.85 * 8 * 1e6)
        << n << " gateways";  // not nothing: a good part of its capacity
  }
}

}  // namespace
}  // namespace rookproxy::routing
