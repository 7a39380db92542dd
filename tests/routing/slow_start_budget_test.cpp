// The budget of engines in slow start as a sum over all dispatchers: each keeps to its own share, and none
// sees the others.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "routing/simulation/slow_start_run.h"
#include "routing/simulation/slow_start_scenario.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

using simulation::ServiceLevel;
using simulation::SlowStartRun;
using simulation::SlowStartScenario;
using simulation::SlowStartUsage;

void expect_within_budget(const SlowStartScenario& scenario, std::uint64_t seed) {
  SlowStartRun run(scenario, seed);
  run.play();
  const SlowStartUsage usage = run.usage();
  const ServiceLevel level = run.service_level();
  std::printf(
      "%-40s %3u dispatchers, burst %.0f: %.2f of the budget (all %.2f, requests %.2f); engines' utilization "
      "%.2f, "
      "served %.3f, in time %.3f, full share after %.1f s\n",
      scenario.name.c_str(), scenario.dispatchers, scenario.burst_factor, usage.listed_work, usage.all_work,
      usage.listed_requests, level.utilization, level.served, level.served_in_time,
      level.seconds_to_full_share);
  const std::string where =
      scenario.name + ", " + std::to_string(scenario.dispatchers) + ", seed " + std::to_string(seed);
  EXPECT_LT(usage.listed_work, 1) << where;
  EXPECT_LT(usage.all_work, 1) << where;
  EXPECT_GT(level.utilization, 0) << where;
}

constexpr std::uint64_t kSeed = 17;

void expect_all_within_budget(const std::vector<SlowStartScenario>& scenarios) {
  for (const auto& scenario : scenarios) expect_within_budget(scenario, kSeed);
}

std::vector<SlowStartScenario> scenarios_of_many(std::uint32_t dispatchers) {
  return {{.name = "burst at its start", .dispatchers = dispatchers, .utilization = 0.9, .burst_factor = 4},
          {.name = "six in ten start",
           .dispatchers = dispatchers,
           .warm_engines = 8,
           .starting_engines = 12,
           .utilization = 1.2,
           .burst_factor = 2},
          {.name = "restarts twice",
           .dispatchers = dispatchers,
           .utilization = 0.9,
           .burst_factor = 2,
           .starts = 3},
          {.name = "dispatchers restart",
           .dispatchers = dispatchers,
           .utilization = 0.9,
           .burst_factor = 4,
           .dispatchers_restart = true}};
}

std::vector<SlowStartScenario> scenarios_of_traffic() {
  return {{.name = "no burst"},
          {.name = "restarts twice, had run before",
           .utilization = 0.9,
           .burst_factor = 2,
           .starts = 3,
           .engines_are_new = false},
          {.name = "five classes",
           .utilization = 0.9,
           .burst_factor = 4,
           .mean_work_ms = {60, 400, 2000, 1500, 300},
           .relative_rates = {10, 3, 0.3, 1, 2}},
          {.name = "rare heavy class",
           .utilization = 0.9,
           .burst_factor = 4,
           .mean_work_ms = {120, 900, 8000},
           .relative_rates = {12, 2, 0.05}},
          {.name = "estimates at half", .utilization = 0.9, .burst_factor = 4, .estimate_factor = 0.5},
          {.name = "no estimates", .utilization = 0.9, .burst_factor = 4, .estimate_factor = 0}};
}

std::vector<SlowStartScenario> scenarios_of_few(double burst_factor) {
  const SlowStart twenty{0.3, 15 * kSecond, 3, 1'500'000};
  const SlowStart three{0.3, 15 * kSecond, 4, 2 * kSecond};
  return {{.name = "three dispatchers",
           .dispatchers = 3,
           .slow_start = three,
           .utilization = 0.9,
           .burst_factor = burst_factor},
          {.name = "three, restarting",
           .dispatchers = 3,
           .slow_start = three,
           .utilization = 0.9,
           .burst_factor = burst_factor,
           .dispatchers_restart = true},
          {.name = "three, six in ten start",
           .dispatchers = 3,
           .slow_start = three,
           .warm_engines = 8,
           .starting_engines = 12,
           .utilization = 1.2,
           .burst_factor = burst_factor},
          {.name = "twenty dispatchers",
           .dispatchers = 20,
           .slow_start = twenty,
           .utilization = 0.9,
           .burst_factor = burst_factor}};
}

TEST(SlowStartBudget, HoldsOverAllDispatchers) {
  for (const std::uint32_t dispatchers : {100u, 300u})
    expect_all_within_budget(scenarios_of_many(dispatchers));
  expect_all_within_budget(scenarios_of_traffic());
  for (const double burst_factor : {1.0, 4.0}) expect_all_within_budget(scenarios_of_few(burst_factor));
}

using Change = void (*)(SlowStartScenario&);

// A variation of the usual scenario, played with several numbers of dispatchers.
struct Variation {
  std::string name;
  std::vector<Change> changes;
  // Also with 300 dispatchers.
  bool with_many_dispatchers = false;
};

void expect_within_budget(const std::vector<Variation>& variations) {
  constexpr std::uint32_t kMany = 300;
  constexpr std::uint32_t kPlayedTwice = 30;
  for (const auto& variation : variations) {
    for (const std::uint32_t dispatchers : {3u, 20u, kPlayedTwice, kMany}) {
      if (dispatchers == kMany && !variation.with_many_dispatchers) continue;
      SlowStartScenario scenario{
          .name = variation.name, .dispatchers = dispatchers, .utilization = 0.9, .burst_factor = 4};
      for (const auto change : variation.changes) change(scenario);
      expect_within_budget(scenario, kSeed);
      if (dispatchers == kPlayedTwice) expect_within_budget(scenario, kSeed + 1);
    }
  }
}

void light_work(SlowStartScenario& scenario) {
  scenario.mean_work_ms = {40, 300, 900};
  scenario.latency_objectives_ms = {200, 600, 1500};
}

void very_light_work(SlowStartScenario& scenario) {
  scenario.mean_work_ms = {10, 60, 100};
  scenario.latency_objectives_ms = {60, 300, 600};
}

void rejecting(SlowStartScenario& scenario) { scenario.max_attempts_of_starting_engine = 2; }

void all_restart(SlowStartScenario& scenario) {
  scenario.all_restart_after = 2 * kSecond;
  scenario.restart_period = 1;
  scenario.list_delay_after_restart = kSecond / 2;
}

void all_restart_one_by_one(SlowStartScenario& scenario) {
  all_restart(scenario);
  scenario.restart_period = 5 * kSecond;
}

void few_engines(SlowStartScenario& scenario) {
  scenario.warm_engines = 1;
  scenario.utilization = 1.5;
  scenario.all_restart_after = kSecond;
}

void two_processes(SlowStartScenario& scenario) { scenario.processes_per_dispatcher = 2; }

void six_starting(SlowStartScenario& scenario) {
  scenario.starting_engines = 6;
  scenario.utilization = 1.2;
}

void half_estimates(SlowStartScenario& scenario) { scenario.estimate_factor = 0.5; }
void no_estimates(SlowStartScenario& scenario) { scenario.estimate_factor = 0; }

void work_over_objective(SlowStartScenario& scenario) { scenario.latency_objectives_ms = {60, 300, 500}; }

void capacity_grows_at_end(SlowStartScenario& scenario) { scenario.capacity_grows_at_end = true; }

void busy_ones_have_seven_times_the_mean(SlowStartScenario& scenario) { scenario.busy_dispatcher_factor = 7; }
void first_has_45_percent(SlowStartScenario& scenario) { scenario.first_dispatcher_share = 0.45; }
void lists_seconds_apart(SlowStartScenario& scenario) { scenario.list_spread = 6 * kSecond; }
void starting_in_steps(SlowStartScenario& scenario) { scenario.seconds_between_starts = 1.5; }

TEST(SlowStartBudget, HoldsWithUnevenTrafficAndDelayedLists) {
  expect_within_budget({{"some have seven times the mean", {busy_ones_have_seven_times_the_mean}},
                        {"one has 45%", {first_has_45_percent}},
                        {"one has 45%, light work", {first_has_45_percent, light_work, rejecting}},
                        {"lists seconds apart", {lists_seconds_apart}, true},
                        {"light work", {light_work}},
                        {"rejecting", {rejecting}},
                        {"light work, rejecting", {light_work, rejecting}},
                        {"two processes each", {two_processes}},
                        {"two processes each, rejecting", {two_processes, light_work, rejecting}},
                        {"six start at once", {six_starting}},
                        {"replaced in steps", {six_starting, starting_in_steps}}});
}

TEST(SlowStartBudget, HoldsWhereDispatchersRestartWithoutACachedList) {
  expect_within_budget(
      {{"all restart", {all_restart}},
       {"all restart, light work", {light_work, all_restart}},
       {"all restart, rejecting", {light_work, rejecting, all_restart}, true},
       {"restart, few engines, rejecting", {light_work, rejecting, all_restart, few_engines}},
       {"restart, very light work, rejecting", {very_light_work, rejecting, all_restart, few_engines}},
       {"restart one by one, rejecting", {light_work, rejecting, all_restart_one_by_one}},
       {"two processes each, restart, rejecting", {two_processes, light_work, rejecting, all_restart}}});
}

// Hands events to the router, each attempt being served at once; how many were sent.
int serve_at_once(Router& router, Time now, std::vector<Event> events) {
  int sends = 0;
  for (int round = 0; round < 100 && !events.empty(); ++round) {
    std::vector<Action> actions;
    router.handle(now, std::exchange(events, {}), actions);
    for (const auto& action : actions) {
      const auto* send = std::get_if<Send>(&action);
      if (send == nullptr) continue;
      ++sends;
      AttemptEnded ended;
      ended.request = send->request;
      ended.latency = 20'000;
      ended.completed = true;
      events.emplace_back(ended);
    }
  }
  return sends;
}

// The first send of a dispatcher that starts at `started_at` with an empty cached list and learns of one
// engine in slow start at `listed_at`; of requests that come every 20 ms until `until`.
std::optional<Time> first_send(const Settings& settings, Time started_at, Time listed_at, Time until) {
  EngineList cached;
  cached.kind = EngineListKind::kCached;
  EngineList present;
  EngineEntry& engine = present.entries.emplace_back();
  engine.name = "starting";
  engine.started_at = started_at - kSecond;
  Router router(settings);
  RequestId id = 0;
  for (Time now = started_at; now < until; now += 20'000) {
    std::vector<Event> events;
    if (now == started_at) events.emplace_back(cached);
    if (now == listed_at) events.emplace_back(present);
    RequestArrived request;
    request.id = ++id;
    request.deadline = now + 3 * kSecond;
    request.work = 300'000;
    events.emplace_back(request);
    if (serve_at_once(router, now, std::move(events)) > 0) return now;
  }
  return std::nullopt;
}

// What a dispatcher sends within its first overload window adds to what its predecessor sent in the one
// before, whenever the list comes that has the starting engine: once the predecessor has gone, nobody knows
// of its sends.
TEST(SlowStartBudget, RestartedDispatcherTakesItsPredecessorsShareAsSpent) {
  const Settings settings = settings_of(SlowStartScenario{.name = "", .dispatchers = 3});
  const Time window = settings.slow_start->overload_window;
  const Time started_at = 100 * kSecond;
  for (const Time list_delay : {Time{0}, kSecond / 10, kSecond}) {
    const auto sent_at = first_send(settings, started_at, started_at + list_delay, started_at + 2 * window);
    ASSERT_TRUE(sent_at.has_value()) << list_delay;
    EXPECT_GE(*sent_at, started_at + window) << list_delay;
    EXPECT_LE(*sent_at, started_at + window + kSecond / 10) << list_delay;
  }
}

TEST(SlowStartBudget, HoldsWithLowOrMissingEstimates) {
  expect_within_budget({{"light work, estimates at half", {light_work, half_estimates}},
                        {"estimates at half, rejecting", {light_work, half_estimates, rejecting}},
                        {"restart, estimates at half", {light_work, half_estimates, all_restart}},
                        {"light work, no estimates", {light_work, no_estimates}},
                        {"no estimates, rejecting", {light_work, no_estimates, rejecting}},
                        {"restart, no estimates", {light_work, no_estimates, all_restart}},
                        {"no estimates, work over its objective", {no_estimates, work_over_objective}},
                        {"restart, no estimates, over its objective",
                         {no_estimates, work_over_objective, all_restart},
                         true}});
}

TEST(SlowStartBudget, HoldsWhereCapacityGrowsOnlyAtTheEndOfTheWarmUp) {
  expect_within_budget({{"warm at its end only", {capacity_grows_at_end}},
                        {"warm at its end only, light work", {capacity_grows_at_end, light_work}},
                        {"warm at its end only, rejecting", {capacity_grows_at_end, light_work, rejecting}},
                        {"warm at its end only, six", {capacity_grows_at_end, six_starting}, true}});
}

// Where no estimate comes, one heavy query of a rare class whose mean is not learnt yet took the whole
// budget.
TEST(SlowStartBudget, HoldsWhereARareClassIsHeavyAndHasNoEstimates) {
  const std::vector<SlowStartScenario> scenarios = {{.name = "60 dispatchers",
                                                     .dispatchers = 60,
                                                     .slow_start = {0.32, 15'300'000, 2.9, 1'000'000},
                                                     .warm_engines = 9,
                                                     .starting_engines = 6,
                                                     .utilization = 1.19,
                                                     .burst_factor = 4.6,
                                                     .mean_work_ms = {87, 1243, 5733},
                                                     .relative_rates = {10, 0.6, 0.29},
                                                     .estimate_factor = 0,
                                                     .engines_are_new = false},
                                                    {.name = "12 dispatchers",
                                                     .dispatchers = 12,
                                                     .slow_start = {0.16, 17'400'000, 4.3, 1'290'000},
                                                     .warm_engines = 10,
                                                     .starting_engines = 8,
                                                     .utilization = 0.89,
                                                     .burst_factor = 4,
                                                     .mean_work_ms = {113, 705, 4641},
                                                     .relative_rates = {10, 2.6, 0.22},
                                                     .estimate_factor = 0}};
  for (const auto& scenario : scenarios) {
    double worst = 0;
    for (const std::uint64_t seed : {49, 54, 1}) {
      SlowStartRun run(scenario, seed);
      run.play();
      worst = std::max(worst, run.usage().listed_work);
    }
    EXPECT_LT(worst, 1) << scenario.name;
  }
}

}  // namespace
}  // namespace rookproxy::routing
