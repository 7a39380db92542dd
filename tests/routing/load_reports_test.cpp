// Tests of load reports and probes.
#include <gtest/gtest.h>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(LoadReports, BestEnginesAreProbedAndAFullOneIsAvoided) {
  auto settings = instance_settings(100);
  settings.may_probe = true;
  settings.probe_cost = 0.01;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
  s.at(1, {query(1, 7)});
  EXPECT_EQ(s.sends().size(), 0u);
  const auto probed = s.all<Probe>();
  ASSERT_EQ(probed.size(), 2u);
  LoadReport full, idle;
  full.active_queries = 80;
  idle.active_queries = 0;
  s.at(5'000, {ProbeEnded{probed[0].engine, Outcome::kServed, 900, full},
               ProbeEnded{probed[1].engine, Outcome::kServed, 900, idle}});
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].engine, probed[1].engine);
  settings.probe_cost = 0.5;  // More than a probe is worth.
  Script expensive(settings);
  expensive.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
  expensive.at(1, {query(1, 7)});
  EXPECT_EQ(expensive.all<Probe>().size(), 0u);
  EXPECT_EQ(expensive.sends().size(), 1u);
}

TEST(LoadReports, RejectionDespiteReportedCapacityStopsProbesForAWhile) {
  auto settings = instance_settings(100);
  settings.may_probe = true;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
  const auto send_query = [&](RequestId id, Time now) {
    auto q = query(id, id);
    q.deadline = now + 20 * kSecond;
    s.at(now, {q});
    return s.all<Probe>();
  };
  const auto probed = send_query(1, 1);
  ASSERT_EQ(probed.size(), 2u);
  LoadReport idle;
  idle.active_queries = 1;
  s.at(5'000, {ProbeEnded{probed[0].engine, Outcome::kServed, 900, idle},
               ProbeEnded{probed[1].engine, Outcome::kServed, 900, idle}});
  ASSERT_EQ(s.sends().size(), 1u);
  s.at(6'000, {ended(1, 0, s.sends()[0].engine, Outcome::kRejected)});
  EXPECT_EQ(send_query(2, 2 * kSecond).size(), 0u);
  EXPECT_EQ(send_query(3, 60 * kSecond).size(), 2u);  // The confidence recovers without further responses.
}

// Returns the lowest id, starting with `from`, of a query of group 7 whose preferred engine is `preferred` if
// that group is all the traffic.
RequestId query_with_preferred_engine(EngineId preferred, EngineId engines, RequestId from) {
  for (RequestId id = from;; ++id) {
    Script s(instance_settings(100));
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(engines)}});
    s.at(1, {query(id, 7)});
    if (s.sends().at(0).engine == preferred) return id;
  }
}

TEST(LoadReports, ReportsInResponsesApplyUntilTheyAreOld) {
  Script s(instance_settings(100));
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
  s.at(1, {query(1, 7)});
  const auto preferred = s.sends().at(0).engine;
  auto response = ended(1, 0, preferred, Outcome::kServed);
  response.report = LoadReport{};
  response.report->active_queries = 80;
  s.at(2, {response});
  const auto second = query_with_preferred_engine(preferred, 10, 2),
             third = query_with_preferred_engine(preferred, 10, second + 1);
  s.at(3, {query(second, 7)});
  EXPECT_NE(s.sends().at(0).engine, preferred);
  s.at(4, {ended(second, 0, s.sends().at(0).engine, Outcome::kServed)});
  s.wait(20'001, 40'001);
  auto late = query(third, 7);
  late.deadline = 35 * kSecond;
  s.at(15 * kSecond, {late});
  EXPECT_EQ(s.sends().at(0).engine, preferred);
}

TEST(LoadReports, ReportedQueriesDecayWithTheMeanRunTime) {
  auto settings = instance_settings(3);
  settings.classes[0].latency_objective = 300'000;  // The initial run time is 0.1 s.
  settings.classes[0].late_weight = 0.5;
  Script s(settings);
  s.list(0, {engine(0)});
  s.at(1, {query(1, 7)});
  auto response = ended(1, 0, 0, Outcome::kServed);
  response.report = LoadReport{};
  response.report->active_queries = 80;  // 80 threads on 8 cores, and 16 after 0.16 s.
  s.at(2, {response, query(2, 7)});
  EXPECT_EQ(s.sends().size(), 0u);
  s.wait(20'000, 100'000);
  EXPECT_EQ(s.all_sends.size(), 1u);
  s.wait(120'000, 240'000);
  EXPECT_EQ(s.all_sends.size(), 2u);
}

TEST(LoadReports, EngineWithOvercommittedMemoryIsAvoidedForLonger) {
  for (const double granted : {0.5, 4.0}) {
    auto settings = instance_settings(100);
    settings.may_probe = true;
    settings.memory_pressure = MemoryPressure::kPage;
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(2)}});
    s.at(1, {query(1, 7)});
    const auto probed = s.all<Probe>();
    ASSERT_EQ(probed.size(), 2u);
    LoadReport preferred, other;
    preferred.cpu_utilization = other.cpu_utilization = 0.2;  // A paging engine uses little CPU.
    preferred.memory_utilization = granted;
    other.memory_utilization = 0.5;
    s.at(5'000, {ProbeEnded{probed[0].engine, Outcome::kServed, 900, preferred},
                 ProbeEnded{probed[1].engine, Outcome::kServed, 900, other}});
    ASSERT_EQ(s.sends().size(), 1u);
    const auto first = s.sends()[0].engine;
    EXPECT_EQ(first == probed[0].engine, granted < 1);
    s.at(10'000, {ended(1, 0, first, Outcome::kServed)});
    s.wait(20'000, 3 * kSecond - 20'000);
    auto later = query(query_with_preferred_engine(probed[0].engine, 2, 2), 7);
    later.deadline = 30 * kSecond;
    s.at(3 * kSecond, {later});  // The probes get no response; the reports are 3 s old.
    s.wait(3 * kSecond + 20'000, 3 * kSecond + 60'000);
    ASSERT_EQ(s.all_sends.size(), 2u);
    EXPECT_EQ(s.all_sends[1].engine == probed[0].engine, granted < 1);
  }
}

TEST(LoadReports, WhileResponsesAreInTimeProbesAreSentOnlyIfResponsesCarryNoReports) {
  for (const bool reports : {false, true}) {
    auto settings = instance_settings(100);
    settings.may_probe = true;
    settings.memory_pressure = MemoryPressure::kPage;
    Script s(settings);
    s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
    // The aggregate limit rises to its maximum.
    for (RequestId id = 1; id <= 40; ++id) {
      s.at(static_cast<Time>(id) * 20'000, {query(id, id), TimerFired{1}});
      s.at(static_cast<Time>(id) * 20'000 + 18'000, {TimerFired{1}});
      auto end = ended(id, 0, s.all_sends.back().engine, Outcome::kServed);
      if (reports) end.report = LoadReport{0.0, 0.0, std::nullopt, 0.1, 0.1};
      s.at(static_cast<Time>(id) * 20'000 + 19'000, {end});
    }
    s.wait(840'000, 3 * kSecond);
    s.at(3 * kSecond + 10'000, {query(100, 7)});
    EXPECT_EQ(s.all<Probe>().empty(), reports);
  }
}

TEST(LoadReports, NoProbeIsSentIfEnginesReportNoLoad) {
  auto settings = instance_settings(100);
  settings.may_probe = true;
  settings.reports_load = false;
  Script s(settings);
  s.at(0, {EngineList{EngineListKind::kSnapshot, fleet(10)}});
  s.at(1, {query(1, 7)});
  EXPECT_EQ(s.all<Probe>().size(), 0u);
  EXPECT_EQ(s.sends().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
