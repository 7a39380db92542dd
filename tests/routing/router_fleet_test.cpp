// Troubles of engines and lists that many dispatchers see a little of each, in virtual time.
#include <gtest/gtest.h>

#include <cstdio>

#include "routing/router_fleet.h"

namespace rookproxy::routing {
namespace {

using fleet::kSecond;
using fleet::SimulatedCluster;
using fleet::TrafficClass;

Settings settings_of(std::uint32_t routers) {
  Settings s;
  s.instance_count = routers;
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

// 0.24 s of work each, over the fleet.
std::vector<TrafficClass> loads_of(double per_second) {
  return {{per_second * 0.86, 120'000, 1}, {per_second * 0.12, 900'000, 0.8}, {per_second * 0.02, 2e6, 0.8}};
}

void expect_rules_kept(const SimulatedCluster& f) {
  EXPECT_EQ(f.duplicate_responses, 0);
  EXPECT_EQ(f.sends_after_completion, 0);
  EXPECT_EQ(f.duplicate_non_idempotent_sends, 0);
  EXPECT_EQ(f.sends_after_drain, 0);
  EXPECT_EQ(f.unanswered(), 0u);
}

struct Shares {
  double late = 0, lost = 0;  // of the requests that came in a time: not served in time; not served at all
};

Shares shares(const SimulatedCluster& f, Time from, Time until) {
  double all = 0, late = 0, lost = 0;
  for (const auto& a : f.requests) {
    if (a.orphaned || a.arrived < from || a.arrived >= until) continue;
    ++all, late += !a.succeeded || a.ended_at > a.objective_at, lost += !a.succeeded;
  }
  return {late / all, lost / all};
}

// One of twenty takes requests and says nothing. A dispatcher alone would send it its twentieth for ever: it
// has to learn from the few that it loses there.
TEST(SimulatedCluster, AHungEngineSeenAFewTimesAMinute) {
  struct {
    bool probes;
    std::uint32_t attempts;
    bool notes;
    double per_second;
    double late, lost;  // at most, of all requests in the two minutes from then on
  } const cases[] = {
      {false, 6, true, 100, 0.02, 0.015}, {false, 3, true, 100, 0.02, 0.015},
      {true, 6, true, 100, 0.02, 0.015},  {true, 3, true, 100, 0.02, 0.015},
      {false, 6, true, 300, 0.015, 0.01}, {false, 6, false, 100, 0.02, 0.015},
  };
  for (const auto& c : cases) {
    auto s = settings_of(100);
    s.max_attempts = c.attempts, s.may_probe = c.probes;
    if (!c.notes) s.progress_interval.reset();
    SimulatedCluster f(s, loads_of(c.per_second), 5);
    for (int i = 0; i < 20; ++i) f.add_engine();
    f.run(20 * kSecond);
    f.process(7).hung = true;
    f.run(140 * kSecond);
    f.drain();
    expect_rules_kept(f);
    const auto after = shares(f, 20 * kSecond, 140 * kSecond);
    double sends[2] = {0, 0}, of_all[2] = {0, 0};  // by minute
    for (const auto& one : f.sent_attempts) {
      if (one.sent_at < 20 * kSecond || one.sent_at >= 140 * kSecond) continue;
      const auto minute = (one.sent_at / kSecond - 20) / 60;
      sends[minute] += one.engine == 7, ++of_all[minute];
    }
    std::printf(
        "%.0f/s, %u attempts%s%s: a dispatcher lost %.2f and %.2f requests to it by minute; late %.4f, lost "
        "%.4f\n",
        c.per_second, c.attempts, c.probes ? ", probes" : "", c.notes ? "" : ", no notes", sends[0] / 100,
        sends[1] / 100, after.late, after.lost);
    EXPECT_LT(sends[0] / of_all[0], 0.03);  // an even part is 0.05
    EXPECT_LT(sends[1] / of_all[1], 0.015);
    EXPECT_LT(after.late, c.late);
    EXPECT_LT(after.lost, c.lost);
  }
}

// For 6 s nothing is heard of a fifth of the engines, or of one attempt in 25 anywhere.
TEST(SimulatedCluster, SilenceOfAFifthOrOfAnswersForAWhile) {
  for (const bool engines : {true, false}) {
    for (const double per_second : {100.0, 400.0}) {
      SimulatedCluster f(settings_of(100), loads_of(per_second), 23);
      for (int i = 0; i < 20; ++i) f.add_engine();
      f.run(20 * kSecond);
      const auto set = [&](bool on) {
        for (EngineId i = 0; engines && i < 4; ++i) f.process(i).hung = on;
        f.loss_rate = !engines && on ? 0.04 : 0;
      };
      set(true);
      f.run(26 * kSecond);
      set(false);
      f.run(50 * kSecond);
      f.drain();
      expect_rules_kept(f);
      const auto during = shares(f, 18 * kSecond, 26 * kSecond),
                 after = shares(f, 30 * kSecond, 50 * kSecond);
      double there = 0, all = 0;
      for (const auto& one : f.sent_attempts) {
        if (one.sent_at < 35 * kSecond) continue;
        there += one.engine < 4, ++all;
      }
      EXPECT_LT(during.late, engines ? 0.15 : 0.06);
      EXPECT_LT(during.lost, engines ? 0.07 : 0.04);
      EXPECT_LT(after.late, 0.005);
      EXPECT_GT(there / all, 0.15);  // of a fifth: they are taken back
    }
  }
}

// Guards against silence that only other requests' notes could show, which thin traffic rarely has, and that
// taught nothing of its engine once found: of 20 engines the hung one lost 1.05% of all requests.
TEST(SimulatedCluster, AHungEngineLosesFewRequestsOfThinTraffic) {
  for (const double per_second : {100.0, 300.0}) {
    SimulatedCluster f(settings_of(100), loads_of(per_second), 5);
    for (int i = 0; i < 20; ++i) f.add_engine();
    f.run(20 * kSecond);
    f.process(7).hung = true;
    f.run(140 * kSecond);
    f.drain();
    EXPECT_LT(shares(f, 20 * kSecond, 140 * kSecond).lost, per_second < 200 ? 0.005 : 0.002);
  }
}

// Six in ten engines are replaced in steps while lists are silent; new ones come under ids of their own, some
// at an address that was another's.
TEST(SimulatedCluster, ASilentListIntoARelease) {
  for (const std::uint32_t n : {60u, 200u}) {
    SimulatedCluster f(settings_of(n), loads_of(300), 11);
    for (int i = 0; i < 20; ++i) f.add_engine();
    f.run(8 * kSecond);
    for (EngineId old = 0; old < 12; ++old) {
      const Time drains = 8 * kSecond + (old / 4) * 5 * kSecond / 2;
      f.schedule(drains, [&f, old] {
        const auto id = f.add_engine(f.now);  // it starts as the former one drains
        f.drain_engine(old);
        if (f.now >= 16 * kSecond) f.publish_list(kSecond / 2);
        f.schedule(f.now + (old % 3 == 0 ? 7 : 4) * kSecond, [&f, old, id] {
          f.stop_process(old);
          std::erase_if(f.engine_list, [old](auto& e) { return e.id == old; });
          if (old % 2 == 0)
            f.process_of_engine[old] = f.process_of_engine[id];  // who was not told meets the new one there
          if (f.now >= 16 * kSecond) f.publish_list(kSecond / 2);
        });
      });
    }
    f.schedule(16 * kSecond, [&f] { f.publish_list(kSecond / 2); });
    f.run(45 * kSecond);
    f.drain();
    EXPECT_LT(shares(f, 8 * kSecond, 30 * kSecond).late, 0.05);
    EXPECT_LT(shares(f, 8 * kSecond, 30 * kSecond).lost, 0.01);
    EXPECT_LT(shares(f, 30 * kSecond, 45 * kSecond).late, 0.005);
    expect_rules_kept(f);
  }
}

}  // namespace
}  // namespace rookproxy::routing
