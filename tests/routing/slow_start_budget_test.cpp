// Simulations of the slow-start budget: all dispatchers together must stay within it although each one only
// knows its own part. Engines that warm up are called cold.
#include <gtest/gtest.h>

#include <cstdio>

#include "routing/router_fleet.h"

namespace rookproxy::routing {
namespace {

using fleet::kSecond;
using fleet::SimulatedCluster;
using fleet::TrafficClass;

// Smallest fraction of its cores that an engine at full capacity keeps busy.
constexpr double kBusyShare = 0.85;

struct Scenario {
  const char* name;
  std::uint32_t dispatchers = 100;
  SlowStart cold = {0.3, 15 * kSecond, 3, 1'500'000};
  // Numbers of engines that are warm, and that start.
  EngineId warm = 10, starting = 1;
  // Traffic as a fraction of the cores of the warm engines.
  double warm_utilization = 0.6;
  // Multiplies the traffic for 4 s after the start.
  double burst_factor = 1;
  // By class. Rates are relative to each other.
  std::vector<double> mean_ms = {120, 900, 2000}, rates = {12, 2, 0.2};
  // Ratio of estimated to actual work. 0: no estimates.
  double estimate_ratio = 1;
  // Starts of each cold engine, 8 s apart.
  int start_count = 1;
  bool dispatchers_restart = false;
  // One in this many dispatchers gets lists some seconds late.
  int delayed_one_in = 20;
  // Whether the starting engines have new ids or ran before.
  bool new_ids = true;
  // Processes of each dispatcher.
  std::uint32_t processes_each = 1;
  double busy_factor = 2.75, first_share = 0;
  // Longest time until dispatchers get a list.
  Time max_list_delay = 3 * kSecond / 2;
  bool warms_at_end = false;
  std::vector<double> objectives_ms = {600, 2000, 4000, 4000, 4000};
  // If restart_all_at is not 0, all dispatchers restart without a cached list that long after the engines,
  // one after the other within restart_all_within, and get the current list within list_after_restart.
  Time restart_all_at = 0, restart_all_within = 0, list_after_restart = 0;
  // Attempts that a starting engine accepts at a time; it rejects more.
  std::size_t max_attempts_at_once = 64;
  // Seconds between the starts of the cold engines.
  double start_interval_s = 0;
};

Settings settings_of(const Scenario& c) {
  Settings s;
  s.instance_count = c.dispatchers;
  s.max_attempts = 6, s.may_cancel = true, s.max_retry_after = 2 * kSecond;
  s.machine_types = {{"k", 8.0, 16384.0}};
  s.drain_grace_period = 2 * kSecond, s.progress_interval = kSecond / 2;
  s.priorities_supported = true;
  s.slow_start = c.cold;
  const char* names[] = {"lookup", "report", "load", "d", "e"};
  for (std::size_t i = 0; i < c.mean_ms.size(); ++i) {
    ClassSettings k;
    k.name = names[i];
    k.latency_objective = static_cast<Time>(1000 * c.objectives_ms[i]);
    k.latency_objective_per_work = 2.5;
    k.timeout = i == 0 ? 3 * kSecond : 25 * kSecond;
    k.threads = i == 0 ? 1 : 2;
    k.priority_weight = 1 + 3 * static_cast<double>(i), k.late_weight = 0.3;
    if (i == 2) k.idempotency = Idempotency::kNonIdempotent, k.is_load = true;
    s.classes.push_back(k);
  }
  return s;
}

// Returns the number of queries that may be sent where the settings allow `n`, with a margin for random
// variation.
double allowed_queries(double n) { return n + 2 * std::sqrt(n) + 2; }

struct WorstWindow {
  // Sends of dispatchers that knew of the start, relative to the allowed work.
  double listed = 0;
  // Sends of all dispatchers, in windows with over two thirds of the work from those that knew of the start.
  double all = 0;
  // Like `listed`, with every request counted as one of mean work.
  double queries = 0;
};

// Updates `worst` with the overload window, ending with a send, that has the most work relative to what the
// settings allow at its beginning.
void find_worst_window(const SimulatedCluster& f, const SlowStart& cold, std::size_t process,
                       WorstWindow& worst) {
  const auto& p = f.processes[process];
  const double mean = f.mean_work();
  std::deque<const fleet::SentAttempt*> window;
  double listed = 0, all = 0, queries = 0;
  for (const auto& s : f.sent_attempts) {
    if (s.process != process || s.sent_at - p.started_at >= cold.warm_up_period) continue;
    window.push_back(&s);
    listed += s.start_was_listed * s.work, all += s.work, queries += s.start_was_listed;
    for (; window.front()->sent_at <= s.sent_at - cold.overload_window; window.pop_front()) {
      listed -= window.front()->start_was_listed * window.front()->work, all -= window.front()->work;
      queries -= window.front()->start_was_listed;
    }
    const double age =
        static_cast<double>(std::max<Time>(0, s.sent_at - cold.overload_window - p.started_at)) /
        static_cast<double>(cold.warm_up_period);
    const double share = f.capacity_share(cold, age);
    const double n = cold.overload_factor * share * kBusyShare * p.cores *
                     static_cast<double>(cold.overload_window) / mean;
    const double allowed_work = allowed_queries(n) * mean;
    worst.listed = std::max(worst.listed, listed / allowed_work);
    worst.queries = std::max(worst.queries, queries / allowed_queries(n));
    if (listed > all * 2 / 3) worst.all = std::max(worst.all, all / allowed_work);
  }
}

struct ServiceQuality {
  // Used fraction of the cores of the cold engines.
  double cold_utilization = 0;
  // Fraction of the requests during the warm-up that were served.
  double served = 0;
  // Fraction of these requests that were served within their objective.
  double in_time = 0;
  // Seconds from the last start until the cold engines get nine tenths of the work of a warm one. -1: never.
  double full_share_after_s = 0;
};

// Returns the seconds until the first two-second period in which the cold engines get nine tenths of the mean
// work of the others, or -1.
double seconds_until_full_share(const SimulatedCluster& f, Time from, const std::set<EngineId>& cold,
                                EngineId all) {
  for (Time at = from; at + 2 * kSecond <= f.now; at += kSecond / 2) {
    double cold_work = 0, warm_work = 0;
    for (const auto& s : f.sent_attempts) {
      if (s.sent_at >= at && s.sent_at < at + 2 * kSecond)
        (cold.contains(s.engine) ? cold_work : warm_work) += s.work;
    }
    const auto n = static_cast<double>(cold.size());
    if (cold_work / n >= 0.9 * warm_work / (all - n)) return static_cast<double>(at - from) / kSecond;
  }
  return -1;
}

WorstWindow simulate(const Scenario& c, std::uint64_t seed, ServiceQuality* service) {
  double work_per_round = 0, total_rate = 0;
  for (std::size_t i = 0; i < c.rates.size(); ++i) work_per_round += c.rates[i] * c.mean_ms[i] / 1000;
  for (const double one : c.rates) total_rate += one;
  std::vector<TrafficClass> traffic_classes;
  for (std::size_t i = 0; i < c.rates.size(); ++i)
    traffic_classes.push_back({c.warm_utilization * 8 * c.warm * c.rates[i] / work_per_round,
                               c.mean_ms[i] * 1000, i == 0 ? 1.2 : 0.8, c.estimate_ratio > 0});
  SimulatedCluster f(settings_of(c), traffic_classes, seed, c.processes_each);
  f.estimate_factor = c.estimate_ratio;
  f.busy_dispatcher_factor = c.busy_factor, f.first_dispatcher_share = c.first_share,
  f.capacity_grows_at_end = c.warms_at_end;
  for (EngineId i = 0; i < c.warm; ++i) f.add_engine();
  std::vector<EngineId> cold;
  if (!c.new_ids) {
    for (EngineId i = 0; i < c.starting; ++i) cold.push_back(f.add_engine());
  }
  f.run(6 * kSecond);
  const Time warm_up_begin = f.now;
  Time last_start = f.now;
  for (int start = 0; start < c.start_count; ++start) {
    last_start = f.now;
    for (EngineId i = 0; i < c.starting; ++i) {
      if (i > 0 && c.start_interval_s > 0) {
        f.publish_list(c.max_list_delay, c.delayed_one_in);
        f.run(f.now + static_cast<Time>(c.start_interval_s * kSecond));
        last_start = f.now;
      }
      if (start == 0 && c.new_ids) {
        cold.push_back(f.add_engine(f.now));
      } else {
        f.stop_process(cold[i]);
        f.start_process(cold[i]);
      }
      f.process(cold[i]).max_attempts = c.max_attempts_at_once;
    }
    f.publish_list(c.max_list_delay, c.delayed_one_in);
    f.traffic_factor = c.burst_factor;
    f.schedule(f.now + 4 * kSecond, [&f] { f.traffic_factor = 1; });
    if (c.dispatchers_restart) {
      for (std::uint32_t i = 0; i < c.dispatchers; i += 3)
        f.schedule(f.now + kSecond / 2 + 4 * kSecond * i / c.dispatchers,
                   [&f, i] { f.restart_dispatcher(i); });
    }
    for (std::uint32_t i = 0; c.restart_all_at > 0 && i < c.dispatchers * c.processes_each; ++i) {
      const auto when =
          f.now + c.restart_all_at + c.restart_all_within * i / (c.dispatchers * c.processes_each);
      f.schedule(when, [&f, &c, i] { f.restart_dispatcher(i, c.list_after_restart, false); });
    }
    f.run(f.now + (start + 1 < c.start_count ? 8 * kSecond : c.cold.warm_up_period));
  }
  const Time warm_up_end = f.now;
  // Time for the engines to get their full share.
  f.run(f.now + 5 * kSecond);
  WorstWindow worst;
  double work = 0, time = 0;
  for (std::size_t p = 0; p < f.processes.size(); ++p) {
    if (f.processes[p].started_at == 0) continue;
    find_worst_window(f, c.cold, p, worst);
    time += 8 * static_cast<double>(c.start_count > 1 ? 8 * kSecond : c.cold.warm_up_period);
    for (const auto& s : f.sent_attempts) work += s.process == p && s.sent_at < warm_up_end ? s.work : 0;
  }
  service->cold_utilization = work / time;
  double request_count = 0, served = 0, in_time = 0;
  for (const auto& a : f.requests) {
    if (a.arrived < warm_up_begin || a.arrived >= warm_up_end || a.orphaned) continue;
    ++request_count, served += a.succeeded, in_time += a.succeeded && a.ended_at <= a.objective_at;
  }
  service->served = served / request_count, service->in_time = in_time / request_count;
  service->full_share_after_s = seconds_until_full_share(f, last_start, {cold.begin(), cold.end()},
                                                         static_cast<EngineId>(f.process_of_engine.size()));
  return worst;
}

void expect_within_budget(const Scenario& one, std::uint64_t seed) {
  ServiceQuality service;
  const auto worst = simulate(one, seed, &service);
  std::printf(
      "%-40s %3u dispatchers, burst %.0f: %.2f of the budget (all %.2f, queries %.2f); utilization %.2f, "
      "served %.3f, in time %.3f, full share after %.1f s\n",
      one.name, one.dispatchers, one.burst_factor, worst.listed, worst.all, worst.queries,
      service.cold_utilization, service.served, service.in_time, service.full_share_after_s);
  EXPECT_LT(worst.listed, 1) << one.name << ", " << one.dispatchers << ", seed " << seed;
  EXPECT_LT(worst.all, 1) << one.name << ", " << one.dispatchers << ", seed " << seed;
  EXPECT_GT(service.cold_utilization, 0) << one.name << ", " << one.dispatchers << ", seed " << seed;
}

TEST(ColdSum, AllDispatchersTogetherStayWithinTheBudget) {
  const SlowStart first{0.3, 15 * kSecond, 3, 1'500'000}, second{0.3, 15 * kSecond, 4, 2 * kSecond};
  std::vector<Scenario> cases;
  for (const std::uint32_t n : {100u, 300u}) {
    cases.push_back(
        {.name = "burst at its start", .dispatchers = n, .warm_utilization = 0.9, .burst_factor = 4});
    cases.push_back({.name = "six in ten engines cold",
                     .dispatchers = n,
                     .warm = 8,
                     .starting = 12,
                     .warm_utilization = 1.2,
                     .burst_factor = 2});
    cases.push_back({.name = "engines restart twice",
                     .dispatchers = n,
                     .warm_utilization = 0.9,
                     .burst_factor = 2,
                     .start_count = 3});
    cases.push_back({.name = "dispatchers restart",
                     .dispatchers = n,
                     .warm_utilization = 0.9,
                     .burst_factor = 4,
                     .dispatchers_restart = true});
  }
  Scenario c{.name = "no burst"};
  cases.push_back(c);
  c = {.name = "engines restart twice, same ids",
       .warm_utilization = 0.9,
       .burst_factor = 2,
       .start_count = 3,
       .new_ids = false};
  cases.push_back(c);
  c = {.name = "five classes", .warm_utilization = 0.9, .burst_factor = 4};
  c.mean_ms = {60, 400, 2000, 1500, 300}, c.rates = {10, 3, 0.3, 1, 2};
  cases.push_back(c);
  c = {.name = "rare heavy class", .warm_utilization = 0.9, .burst_factor = 4};
  c.mean_ms = {120, 900, 8000}, c.rates = {12, 2, 0.05};
  cases.push_back(c);
  cases.push_back(
      {.name = "halved estimates", .warm_utilization = 0.9, .burst_factor = 4, .estimate_ratio = 0.5});
  cases.push_back({.name = "no estimates", .warm_utilization = 0.9, .burst_factor = 4, .estimate_ratio = 0});
  for (const double burst_factor : {1.0, 4.0}) {
    cases.push_back({.name = "three dispatchers",
                     .dispatchers = 3,
                     .cold = second,
                     .warm_utilization = 0.9,
                     .burst_factor = burst_factor});
    cases.push_back({.name = "three dispatchers, restarting",
                     .dispatchers = 3,
                     .cold = second,
                     .warm_utilization = 0.9,
                     .burst_factor = burst_factor,
                     .dispatchers_restart = true});
    cases.push_back({.name = "three dispatchers, six in ten engines cold",
                     .dispatchers = 3,
                     .cold = second,
                     .warm = 8,
                     .starting = 12,
                     .warm_utilization = 1.2,
                     .burst_factor = burst_factor});
    cases.push_back({.name = "twenty dispatchers",
                     .dispatchers = 20,
                     .cold = first,
                     .warm_utilization = 0.9,
                     .burst_factor = burst_factor});
  }
  for (const auto& one : cases) expect_within_budget(one, 17);
}

using Change = void (*)(Scenario&);
struct Variation {
  const char* name;
  std::vector<Change> changes;
  // Whether to run it with 300 dispatchers as well.
  bool with_300_dispatchers = false;
};

void expect_all_within_budget(const std::vector<Variation>& variations) {
  for (const auto& variation : variations) {
    for (const std::uint32_t n : {3u, 20u, 30u, 300u}) {
      if (n == 300 && !variation.with_300_dispatchers) continue;
      Scenario c{.name = variation.name, .dispatchers = n, .warm_utilization = 0.9, .burst_factor = 4};
      for (const auto change : variation.changes) change(c);
      expect_within_budget(c, 17);
      if (n == 30) expect_within_budget(c, 18);
    }
  }
}

void light_work(Scenario& c) { c.mean_ms = {40, 300, 900}, c.objectives_ms = {200, 600, 1500}; }
void very_light_work(Scenario& c) { c.mean_ms = {10, 60, 100}, c.objectives_ms = {60, 300, 600}; }
void rejecting(Scenario& c) { c.max_attempts_at_once = 2; }
void restart_all(Scenario& c) {
  c.restart_all_at = 2 * kSecond, c.restart_all_within = 1, c.list_after_restart = kSecond / 2;
}
void restart_all_in_turn(Scenario& c) { restart_all(c), c.restart_all_within = 5 * kSecond; }
void few_engines(Scenario& c) { c.warm = 1, c.warm_utilization = 1.5, c.restart_all_at = kSecond; }
void two_processes(Scenario& c) { c.processes_each = 2; }
void six_starting(Scenario& c) { c.starting = 6, c.warm_utilization = 1.2; }
void half_estimates(Scenario& c) { c.estimate_ratio = 0.5; }
void no_estimates(Scenario& c) { c.estimate_ratio = 0; }
void work_over_objective(Scenario& c) { c.objectives_ms = {60, 300, 500}; }
void warm_at_end(Scenario& c) { c.warms_at_end = true; }

TEST(ColdSum, UnevenTrafficAndDelayedListsStayWithinTheBudget) {
  expect_all_within_budget(
      {{"some dispatchers get seven times the mean traffic", {[](Scenario& c) { c.busy_factor = 7; }}},
       {"one dispatcher gets 45% of the traffic", {[](Scenario& c) { c.first_share = 0.45; }}},
       {"one dispatcher gets 45% of the traffic, light work",
        {[](Scenario& c) { c.first_share = 0.45; }, light_work, rejecting}},
       {"lists delayed by seconds", {[](Scenario& c) { c.max_list_delay = 6 * kSecond; }}, true},
       {"light work", {light_work}},
       {"rejections", {rejecting}},
       {"light work, rejections", {light_work, rejecting}},
       {"two processes per dispatcher", {two_processes}},
       {"two processes per dispatcher, rejections", {two_processes, light_work, rejecting}},
       {"six cold engines at once", {six_starting}},
       {"six cold engines in steps", {six_starting, [](Scenario& c) { c.start_interval_s = 1.5; }}}});
}

TEST(ColdSum, RestartedDispatchersWithoutStateStayWithinTheBudget) {
  expect_all_within_budget(
      {{"all restart", {restart_all}},
       {"all restart, light work", {light_work, restart_all}},
       {"all restart, rejections", {light_work, rejecting, restart_all}, true},
       {"all restart, few engines, rejections", {light_work, rejecting, restart_all, few_engines}},
       {"all restart, very light work, rejections", {very_light_work, rejecting, restart_all, few_engines}},
       {"all restart in turn, rejections", {light_work, rejecting, restart_all_in_turn}},
       {"two processes per dispatcher, all restart, rejections",
        {two_processes, light_work, rejecting, restart_all}}});
}

// Guards against a restarted dispatcher that adds to what its predecessor sent in the preceding window,
// however late it gets the list with the cold engine.
TEST(ColdSum, RestartedDispatcherTreatsItsFirstWindowAsSpent) {
  for (const Time list_delay : {Time{0}, kSecond / 10, kSecond}) {
    Settings s = settings_of(Scenario{.name = "", .dispatchers = 3});
    Router router(s);
    const Time restarted_at = 100 * kSecond, known_at = restarted_at + list_delay,
               window = s.slow_start->overload_window;
    EngineList before, now;
    before.kind = EngineListKind::kCached;
    now.entries.emplace_back().name = "cold";
    now.entries[0].started_at = restarted_at - kSecond;
    std::vector<Time> sends;
    std::vector<Action> actions;
    RequestId id = 0;
    for (Time at = restarted_at; at < restarted_at + 2 * window; at += 20'000) {
      std::vector<Event> events;
      if (at == restarted_at) events.push_back(before);
      if (at == known_at) events.push_back(now);
      RequestArrived r;
      r.id = ++id, r.deadline = at + 3 * kSecond, r.work = 300'000;
      events.push_back(r);
      // All attempts are served at once.
      for (int rounds = 0; rounds < 100 && !events.empty(); ++rounds) {
        actions.clear();
        router.handle(at, std::exchange(events, {}), actions);
        for (const auto& action : actions) {
          if (const auto* sent = std::get_if<Send>(&action)) {
            sends.push_back(at);
            AttemptEnded ended;
            ended.request = sent->request, ended.latency = 20'000, ended.completed = true;
            events.push_back(ended);
          }
        }
      }
    }
    ASSERT_FALSE(sends.empty()) << list_delay;
    EXPECT_GE(sends.front(), restarted_at + window) << list_delay;
    EXPECT_LE(sends.front(), restarted_at + window + kSecond / 10) << list_delay;
  }
}

TEST(ColdSum, HalvedOrMissingEstimatesStayWithinTheBudget) {
  expect_all_within_budget({{"light work, halved estimates", {light_work, half_estimates}},
                            {"halved estimates, rejections", {light_work, half_estimates, rejecting}},
                            {"all restart, halved estimates", {light_work, half_estimates, restart_all}},
                            {"light work, no estimates", {light_work, no_estimates}},
                            {"no estimates, rejections", {light_work, no_estimates, rejecting}},
                            {"all restart, no estimates", {light_work, no_estimates, restart_all}},
                            {"no estimates, work over its objective", {no_estimates, work_over_objective}},
                            {"all restart, no estimates, work over its objective",
                             {no_estimates, work_over_objective, restart_all},
                             true}});
}

TEST(ColdSum, EnginesAtInitialCapacityUntilWarmStayWithinTheBudget) {
  expect_all_within_budget(
      {{"initial capacity until warm", {warm_at_end}},
       {"initial capacity until warm, light work", {warm_at_end, light_work}},
       {"initial capacity until warm, rejections", {warm_at_end, light_work, rejecting}},
       {"initial capacity until warm, six cold engines", {warm_at_end, six_starting}, true}});
}

// Guards against a heavy query without an estimate, of a rare class whose mean work is not known yet, that
// exceeds the budget alone.
TEST(ColdSum, RareHeavyClassWithoutEstimatesStaysWithinTheBudget) {
  Scenario a{.name = "60 dispatchers",
             .dispatchers = 60,
             .cold = {0.32, 15'300'000, 2.9, 1'000'000},
             .warm = 9,
             .starting = 6};
  a.warm_utilization = 1.19, a.burst_factor = 4.6, a.mean_ms = {87, 1243, 5733}, a.rates = {10, 0.6, 0.29};
  a.estimate_ratio = 0, a.new_ids = false;
  Scenario b{.name = "12 dispatchers",
             .dispatchers = 12,
             .cold = {0.16, 17'400'000, 4.3, 1'290'000},
             .warm = 10,
             .starting = 8};
  b.warm_utilization = 0.89, b.burst_factor = 4, b.mean_ms = {113, 705, 4641}, b.rates = {10, 2.6, 0.22};
  b.estimate_ratio = 0;
  for (const auto& one : {a, b}) {
    double worst = 0;
    ServiceQuality service;
    for (std::uint64_t seed : {49, 54, 1}) worst = std::max(worst, simulate(one, seed, &service).listed);
    EXPECT_LT(worst, 1) << one.name;
  }
}

}  // namespace
}  // namespace rookproxy::routing
