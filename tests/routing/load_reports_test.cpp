// Load reports and probes. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(LoadReports, TheBestFewAreProbedFirstAndAFullOneIsAvoided) {
  auto settings = instance_settings(100);
  settings.may_probe = true;
  settings.probe_cost = 0.01;
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(10));
  router.handle(1, {query(1, 7)});
  EXPECT_EQ(router.sends().size(), 0u);
  const auto probes = router.actions_of<Probe>();
  ASSERT_EQ(probes.size(), 2u);
  LoadReport full;
  LoadReport idle;
  full.active_queries = 80;
  idle.active_queries = 0;
  router.handle(5'000, {ProbeEnded{probes[0].engine, Outcome::kServed, 900, full},
                        ProbeEnded{probes[1].engine, Outcome::kServed, 900, idle}});
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].engine, probes[1].engine);
  settings.probe_cost = 0.5;  // more than it gains
  ScriptedRouter costly_router(settings);
  costly_router.update_engines(0, engine_entries(10));
  costly_router.handle(1, {query(1, 7)});
  EXPECT_EQ(costly_router.actions_of<Probe>().size(), 0u);
  EXPECT_EQ(costly_router.sends().size(), 1u);
}

TEST(LoadReports, ARejectionByAnEngineReportedIdleLowersConfidenceForAWhile) {
  auto settings = instance_settings(100);
  settings.may_probe = true;
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(10));
  const auto probes_for = [&](RequestId id, Time now) {
    auto arrived = query_at(now, id, id);
    router.handle(now, {arrived});
    return router.actions_of<Probe>();
  };
  const auto probes = probes_for(1, 1);
  ASSERT_EQ(probes.size(), 2u);
  LoadReport idle;
  idle.active_queries = 1;
  router.handle(5'000, {ProbeEnded{probes[0].engine, Outcome::kServed, 900, idle},
                        ProbeEnded{probes[1].engine, Outcome::kServed, 900, idle}});
  ASSERT_EQ(router.sends().size(), 1u);
  router.handle(6'000, {ended(1, 0, router.sends()[0].engine, Outcome::kRejected)});
  EXPECT_EQ(probes_for(2, 2 * kSecond).size(), 0u);
  EXPECT_EQ(probes_for(3, 60 * kSecond).size(), 2u);  // unlearnt without an answer
}

// The lowest id from `from` on of a query of group 7 that is sent to `preferred`, that group being all the
// traffic.
RequestId query_with_preferred_engine(EngineId preferred, EngineId engines, RequestId from) {
  for (RequestId id = from;; ++id) {
    ScriptedRouter router(instance_settings(100));
    router.update_engines(0, engine_entries(engines));
    router.handle(1, {query(id, 7)});
    if (router.sends().at(0).engine == preferred) return id;
  }
}

TEST(LoadReports, ReportsInResponsesCountAndOldOnesFade) {
  ScriptedRouter router(instance_settings(100));
  router.update_engines(0, engine_entries(10));
  router.handle(1, {query(1, 7)});
  const auto preferred = router.sends().at(0).engine;
  auto response = ended(1, 0, preferred, Outcome::kServed);
  response.report = LoadReport{};
  response.report->active_queries = 80;
  router.handle(2, {response});
  const auto second = query_with_preferred_engine(preferred, 10, 2),
             third = query_with_preferred_engine(preferred, 10, second + 1);
  router.handle(3, {query(second, 7)});
  EXPECT_NE(router.sends().at(0).engine, preferred);
  router.handle(4, {ended(second, 0, router.sends().at(0).engine, Outcome::kServed)});
  router.advance(20'001, 40'001);
  auto late = query(third, 7);
  late.deadline = 35 * kSecond;
  router.handle(15 * kSecond, {late});
  EXPECT_EQ(router.sends().at(0).engine, preferred);
}

TEST(LoadReports, ReportedQueriesEndAfterTheUsualRunTime) {
  auto settings = instance_settings(3);
  settings.classes[0].latency_objective = 300'000;  // the usual run without estimates: 0.1 s
  settings.classes[0].late_weight = 0.5;
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  router.handle(1, {query(1, 7)});
  auto response = ended(1, 0, 0, Outcome::kServed);
  response.report = LoadReport{};
  response.report->active_queries = 80;  // 80 threads on 8 cores, and 16 after 0.16 s
  router.handle(2, {response, query(2, 7)});
  EXPECT_EQ(router.sends().size(), 0u);
  router.advance(20'000, 100'000);
  EXPECT_EQ(router.all_sends().size(), 1u);
  router.advance(120'000, 240'000);
  EXPECT_EQ(router.all_sends().size(), 2u);
}

TEST(LoadReports, AnEngineReportedWithMoreMemoryGrantedIsAvoidedForLonger) {
  for (const double granted : {0.5, 4.0}) {
    auto settings = instance_settings(100);
    settings.may_probe = true;
    settings.memory_pressure = MemoryPressure::kPage;
    ScriptedRouter router(settings);
    router.update_engines(0, engine_entries(2));
    router.handle(1, {query(1, 7)});
    const auto probes = router.actions_of<Probe>();
    ASSERT_EQ(probes.size(), 2u);
    LoadReport preferred;
    LoadReport other;
    preferred.cpu_utilization = other.cpu_utilization = 0.2;  // one that pages does little
    preferred.memory_utilization = granted;
    other.memory_utilization = 0.5;
    router.handle(5'000, {ProbeEnded{probes[0].engine, Outcome::kServed, 900, preferred},
                          ProbeEnded{probes[1].engine, Outcome::kServed, 900, other}});
    ASSERT_EQ(router.sends().size(), 1u);
    const auto first = router.sends()[0].engine;
    EXPECT_EQ(first == probes[0].engine, granted < 1);
    router.handle(10'000, {ended(1, 0, first, Outcome::kServed)});
    router.advance(20'000, 3 * kSecond - 20'000);
    auto later = query(query_with_preferred_engine(probes[0].engine, 2, 2), 7);
    later.deadline = 30 * kSecond;
    router.handle(3 * kSecond, {later});  // no answer to the probes: what is known is three seconds old
    router.advance(3 * kSecond + 20'000, 3 * kSecond + 60'000);
    ASSERT_EQ(router.all_sends().size(), 2u);
    EXPECT_EQ(router.all_sends()[1].engine == probes[0].engine, granted < 1);
  }
}

TEST(LoadReports, WhileAllIsInTimeEnginesAreProbedOnlyIfResponsesCarryNoReports) {
  for (const bool reports : {false, true}) {
    auto settings = instance_settings(100);
    settings.may_probe = true;
    settings.memory_pressure = MemoryPressure::kPage;
    ScriptedRouter router(settings);
    router.update_engines(0, engine_entries(10));
    for (RequestId id = 1; id <= 40; ++id) {  // the sum opens to its most
      router.handle(static_cast<Time>(id) * 20'000, {query(id, id), TimerFired{kTickToken}});
      router.handle(static_cast<Time>(id) * 20'000 + 18'000, {TimerFired{kTickToken}});
      auto end = ended(id, 0, router.all_sends().back().engine, Outcome::kServed);
      if (reports) end.report = LoadReport{0.0, 0.0, std::nullopt, 0.1, 0.1};
      router.handle(static_cast<Time>(id) * 20'000 + 19'000, {end});
    }
    router.advance(840'000, 3 * kSecond);
    router.handle(3 * kSecond + 10'000, {query(100, 7)});
    EXPECT_EQ(router.actions_of<Probe>().empty(), reports);
  }
}

TEST(LoadReports, NothingIsProbedWhereNothingReports) {
  auto settings = instance_settings(100);
  settings.may_probe = true;
  settings.reports_load = false;
  ScriptedRouter router(settings);
  router.update_engines(0, engine_entries(10));
  router.handle(1, {query(1, 7)});
  EXPECT_EQ(router.actions_of<Probe>().size(), 0u);
  EXPECT_EQ(router.sends().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
