// Simulations of failing engines and delayed engine lists that each of many dispatchers sees only a small
// part of.
#include <gtest/gtest.h>

#include <cstdio>

#include "routing/router_fleet.h"

namespace rookproxy::routing {
namespace {

using fleet::kSecond;
using fleet::SimulatedCluster;
using fleet::TrafficClass;

Settings settings_of(std::uint32_t instances) {
  Settings s;
  s.instance_count = instances;
  s.max_attempts = 6, s.may_cancel = true, s.max_retry_after = 2 * kSecond;
  s.machine_types = {{"k", 8.0, 16384.0}};
  s.response_grace_period = 20'000, s.drain_grace_period = 2 * kSecond, s.progress_interval = kSecond / 2;
  s.priorities_supported = true;
  s.slow_start = SlowStart{0.3, 15 * kSecond, 3, 3 * kSecond / 2};
  for (int i = 0; i < 3; ++i) {
    ClassSettings k;
    k.name = std::vector<std::string>{"lookup", "report", "load"}[i];
    k.latency_objective = std::vector<Time>{600'000, 2'000'000, 4'000'000}[i];
    k.latency_objective_per_work = i == 0 ? 1.5 : 2.5;
    k.timeout = i == 0 ? 3 * kSecond : 12 * kSecond;
    k.threads = i == 0 ? 1 : 2;
    k.priority_weight = std::vector<double>{1, 7.5, 6}[i], k.late_weight = 0.3;
    if (i == 2) k.idempotency = Idempotency::kNonIdempotent, k.is_load = true;
    s.classes.push_back(k);
  }
  return s;
}

// Traffic of the whole fleet with a mean of 0.24 s of work per request.
std::vector<TrafficClass> traffic_of(double per_second) {
  return {{per_second * 0.86, 120'000, 1}, {per_second * 0.12, 900'000, 0.8}, {per_second * 0.02, 2e6, 0.8}};
}

void expect_rules_kept(const SimulatedCluster& f) {
  EXPECT_EQ(f.duplicate_responses, 0);
  EXPECT_EQ(f.sends_after_completion, 0);
  EXPECT_EQ(f.duplicate_non_idempotent_sends, 0);
  EXPECT_EQ(f.sends_after_drain, 0);
  EXPECT_EQ(f.unanswered(), 0u);
}

// Fractions of the requests of a period that were not served in time, and that were not served at all.
struct FailureRates {
  double late = 0, lost = 0;
};

FailureRates failure_rates(const SimulatedCluster& f, Time from, Time until) {
  double all = 0, late = 0, lost = 0;
  for (const auto& a : f.requests) {
    if (a.orphaned || a.arrived < from || a.arrived >= until) continue;
    ++all, late += !a.succeeded || a.ended_at > a.objective_at, lost += !a.succeeded;
  }
  return {late / all, lost / all};
}

// One of twenty engines accepts requests and never responds. Guards against each dispatcher continuing to
// send it a twentieth of its requests, since each loses only a few there.
TEST(SimulatedCluster, HungEngineGetsFewSendsAlthoughEachDispatcherRarelyUsesIt) {
  struct {
    bool probes;
    std::uint32_t attempts;
    bool updates;
    double per_second;
    // Upper bounds of the fractions of all requests in the two minutes after the engine hangs.
    double late, lost;
  } const cases[] = {
      {false, 6, true, 100, 0.02, 0.015}, {false, 3, true, 100, 0.02, 0.015},
      {true, 6, true, 100, 0.02, 0.015},  {true, 3, true, 100, 0.02, 0.015},
      {false, 6, true, 300, 0.015, 0.01}, {false, 6, false, 100, 0.02, 0.015},
  };
  for (const auto& c : cases) {
    auto s = settings_of(100);
    s.max_attempts = c.attempts, s.may_probe = c.probes;
    if (!c.updates) s.progress_interval.reset();
    SimulatedCluster f(s, traffic_of(c.per_second), 5);
    for (int i = 0; i < 20; ++i) f.add_engine();
    f.run(20 * kSecond);
    f.process(7).hung = true;
    f.run(140 * kSecond);
    f.drain();
    expect_rules_kept(f);
    const auto after = failure_rates(f, 20 * kSecond, 140 * kSecond);
    double sends[2] = {0, 0}, of_all[2] = {0, 0};  // By minute.
    for (const auto& one : f.sent_attempts) {
      if (one.sent_at < 20 * kSecond || one.sent_at >= 140 * kSecond) continue;
      const auto minute = (one.sent_at / kSecond - 20) / 60;
      sends[minute] += one.engine == 7, ++of_all[minute];
    }
    std::printf(
        "%.0f/s, %u attempts%s%s: sends per dispatcher to the hung engine by minute: %.2f, %.2f; late %.4f, "
        "lost %.4f\n",
        c.per_second, c.attempts, c.probes ? ", probes" : "", c.updates ? "" : ", no updates", sends[0] / 100,
        sends[1] / 100, after.late, after.lost);
    EXPECT_LT(sends[0] / of_all[0], 0.03);  // An even share is 0.05.
    EXPECT_LT(sends[1] / of_all[1], 0.015);
    EXPECT_LT(after.late, c.late);
    EXPECT_LT(after.lost, c.lost);
  }
}

// For 6 s, a fifth of the engines hang, or the responses of one attempt in 25 are lost.
TEST(SimulatedCluster, ServiceRecoversAfterEnginesHangOrResponsesAreLost) {
  for (const bool engines : {true, false}) {
    for (const double per_second : {100.0, 400.0}) {
      SimulatedCluster f(settings_of(100), traffic_of(per_second), 23);
      for (int i = 0; i < 20; ++i) f.add_engine();
      f.run(20 * kSecond);
      const auto set_fault = [&](bool on) {
        for (EngineId i = 0; engines && i < 4; ++i) f.process(i).hung = on;
        f.loss_rate = !engines && on ? 0.04 : 0;
      };
      set_fault(true);
      f.run(26 * kSecond);
      set_fault(false);
      f.run(50 * kSecond);
      f.drain();
      expect_rules_kept(f);
      const auto during = failure_rates(f, 18 * kSecond, 26 * kSecond),
                 after = failure_rates(f, 30 * kSecond, 50 * kSecond);
      double to_affected = 0, all = 0;
      for (const auto& one : f.sent_attempts) {
        if (one.sent_at < 35 * kSecond) continue;
        to_affected += one.engine < 4, ++all;
      }
      EXPECT_LT(during.late, engines ? 0.15 : 0.06);
      EXPECT_LT(during.lost, engines ? 0.07 : 0.04);
      EXPECT_LT(after.late, 0.005);
      EXPECT_GT(to_affected / all, 0.15);  // An even share is a fifth.
    }
  }
}

// Guards against a hung engine that goes undetected because, at low traffic, no other attempt sends updates.
TEST(SimulatedCluster, HungEngineLosesFewRequestsAtLowTraffic) {
  for (const double per_second : {100.0, 300.0}) {
    SimulatedCluster f(settings_of(100), traffic_of(per_second), 5);
    for (int i = 0; i < 20; ++i) f.add_engine();
    f.run(20 * kSecond);
    f.process(7).hung = true;
    f.run(140 * kSecond);
    f.drain();
    EXPECT_LT(failure_rates(f, 20 * kSecond, 140 * kSecond).lost, per_second < 200 ? 0.005 : 0.002);
  }
}

// Six in ten engines are replaced in steps while no lists are published. New engines have new ids, and some
// use the address of a previous engine.
TEST(SimulatedCluster, ReplacingEnginesWithoutListUpdatesLosesFewRequests) {
  for (const std::uint32_t n : {60u, 200u}) {
    SimulatedCluster f(settings_of(n), traffic_of(300), 11);
    for (int i = 0; i < 20; ++i) f.add_engine();
    f.run(8 * kSecond);
    for (EngineId old = 0; old < 12; ++old) {
      const Time drains = 8 * kSecond + (old / 4) * 5 * kSecond / 2;
      f.schedule(drains, [&f, old] {
        const auto id = f.add_engine(f.now);  // It starts when the previous one drains.
        f.drain_engine(old);
        if (f.now >= 16 * kSecond) f.publish_list(kSecond / 2);
        f.schedule(f.now + (old % 3 == 0 ? 7 : 4) * kSecond, [&f, old, id] {
          f.stop_process(old);
          std::erase_if(f.engine_list, [old](auto& e) { return e.id == old; });
          // A dispatcher without the new list reaches the new engine there.
          if (old % 2 == 0) f.process_of_engine[old] = f.process_of_engine[id];
          if (f.now >= 16 * kSecond) f.publish_list(kSecond / 2);
        });
      });
    }
    f.schedule(16 * kSecond, [&f] { f.publish_list(kSecond / 2); });
    f.run(45 * kSecond);
    f.drain();
    EXPECT_LT(failure_rates(f, 8 * kSecond, 30 * kSecond).late, 0.05);
    EXPECT_LT(failure_rates(f, 8 * kSecond, 30 * kSecond).lost, 0.01);
    EXPECT_LT(failure_rates(f, 30 * kSecond, 45 * kSecond).late, 0.005);
    expect_rules_kept(f);
  }
}

}  // namespace
}  // namespace rookproxy::routing
