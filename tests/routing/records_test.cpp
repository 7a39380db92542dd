// Tests of the router's records of requests, engines and classes.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "routing/class_state.h"
#include "routing/engine.h"
#include "routing/ordered_keys.h"
#include "routing/outcome.h"
#include "routing/request.h"
#include "routing/request_table.h"
#include "routing/retry_budget_counter.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {
namespace {

EngineEntry entry(Time started_at, std::uint32_t machine_type = 0) {
  EngineEntry e;
  e.name = "engine-a";
  e.started_at = started_at;
  e.machine_type = machine_type;
  return e;
}

TEST(Outcome, ClassifiesWhetherAnAttemptRanOrMayStillRun) {
  EXPECT_TRUE(never_ran(Outcome::kRejected));
  EXPECT_TRUE(never_ran(Outcome::kConnectFailed));
  EXPECT_TRUE(never_ran(Outcome::kNotSent));
  for (const auto outcome : {Outcome::kServed, Outcome::kError, Outcome::kNoResponse,
                             Outcome::kConnectionLost, Outcome::kCancelled})
    EXPECT_FALSE(never_ran(outcome));
  EXPECT_TRUE(may_still_run(Outcome::kNoResponse));
  EXPECT_TRUE(may_still_run(Outcome::kConnectionLost));
  EXPECT_TRUE(may_still_run(Outcome::kCancelled));
  EXPECT_FALSE(may_still_run(Outcome::kError));
  EXPECT_TRUE(is_engine_failure(Outcome::kConnectionLost));
  EXPECT_FALSE(is_engine_failure(Outcome::kNotSent));
  EXPECT_FALSE(is_engine_failure(Outcome::kError));
}

TEST(Attempt, SharesItsScopeWithEnginesOfItsZoneOrCell) {
  Attempt attempt;
  attempt.zone = 1;
  attempt.cell = 4;
  EngineEntry same_zone;
  same_zone.zone = 1;
  same_zone.cell = 5;
  EngineEntry elsewhere;
  EXPECT_TRUE(attempt.shares_scope(elsewhere, IdempotencyScope::kAll));
  EXPECT_TRUE(attempt.shares_scope(same_zone, IdempotencyScope::kZone));
  EXPECT_FALSE(attempt.shares_scope(elsewhere, IdempotencyScope::kZone));
  EXPECT_FALSE(attempt.shares_scope(same_zone, IdempotencyScope::kCell));
  same_zone.cell = 4;
  EXPECT_TRUE(attempt.shares_scope(same_zone, IdempotencyScope::kCell));
}

TEST(Request, SummarizesItsAttempts) {
  Request request;
  EXPECT_FALSE(request.may_have_run());
  EXPECT_FALSE(request.was_last_sent_to(0));
  request.attempts.emplace_back().may_have_run = false;
  request.attempts.back().request_suspected = true;
  request.attempts.back().engine_id = 3;
  EXPECT_FALSE(request.may_have_run());
  EXPECT_EQ(request.suspected_attempts(), 1);
  EXPECT_TRUE(request.was_last_sent_to(3));
  request.attempts.emplace_back();
  EXPECT_TRUE(request.may_have_run());
  EXPECT_FALSE(request.was_last_sent_to(3));
}

TEST(Engine, NewStartTimeCountsAsRestart) {
  const std::vector<MachineTypeSettings> types = {{"small", 8.0, 16384.0}};
  Engine engine;
  EXPECT_FALSE(engine.is_serving());
  EXPECT_FALSE(engine.update(entry(0), types, 1)) << "it has been running for long";
  EXPECT_TRUE(engine.is_serving());
  EXPECT_EQ(engine.cores, 8);
  EXPECT_EQ(engine.memory_mb, 16384);
  EXPECT_EQ(engine.list_version, 1u);
  EXPECT_TRUE(engine.update(entry(5), types, 2));
  EXPECT_FALSE(engine.update(entry(5), types, 3));
  Engine fresh;
  EXPECT_TRUE(fresh.update(entry(5), types, 3)) << "first seen after a start";
}

TEST(Engine, UnknownMachineTypeLeavesCoresUnchanged) {
  Engine engine;
  EXPECT_FALSE(engine.update(entry(0, 7), {{"small", 8.0, 16384.0}}, 1));
  EXPECT_EQ(engine.cores, 1);
  EXPECT_FALSE(engine.update(entry(0, 0), {{"unspecified", std::nullopt, std::nullopt}}, 2));
  EXPECT_EQ(engine.cores, 1);
  EXPECT_EQ(engine.memory_mb, 0);
}

TEST(Engine, CentroidIsWeightedMeanOfGroups) {
  Engine engine;
  engine.move_centroid(7, 0);
  EXPECT_EQ(engine.affinity(7).centroid, 1);
  EXPECT_EQ(engine.centroid_norm_squared, 1);
  engine.move_centroid(8, 0.5);
  EXPECT_EQ(engine.affinity(7).centroid, 0.5);
  EXPECT_EQ(engine.affinity(8).centroid, 0.5);
  EXPECT_EQ(engine.centroid_norm_squared, 0.5);  // 0.25 + 0.25
  EXPECT_EQ(engine.centroid_sends, 2);
  engine.reset_affinity();
  EXPECT_EQ(engine.affinity(7).centroid, 0);
  EXPECT_EQ(engine.centroid_sends, 0);
}

TEST(Engine, DropsGroupsWithoutCentroidAttemptsOrLoads) {
  Engine engine;
  engine.affinity_record(1).centroid = 0.5;
  engine.affinity_record(2).active_readers = 1;
  engine.affinity_record(3).active_loads = 1;
  engine.affinity_record(4).load_seen_until = 11;
  engine.affinity_record(5).load_seen_until = 10;
  engine.drop_groups_below(0.1, 10);
  ASSERT_EQ(engine.groups.size(), 4u);
  EXPECT_EQ(engine.groups.back().group, 4u);
}

TEST(Engine, CountsAttemptsByPriority) {
  Engine engine;
  Attempt attempt;
  attempt.priority = 2;
  attempt.granted_memory_mb = 100;
  engine.count_attempt(attempt, 4, 1);
  EXPECT_EQ(engine.active_attempts, 1);
  EXPECT_EQ(engine.granted_memory_mb, 100);
  EXPECT_EQ(engine.threads.at_or_above(2), 4);
  EXPECT_EQ(engine.threads.at_or_above(3), 0);
  engine.count_attempt(attempt, 4, -1);
  EXPECT_EQ(engine.active_attempts, 0);
  EXPECT_EQ(engine.granted_memory_mb, 0);
  EXPECT_EQ(engine.threads.at_or_above(0), 0);
}

TEST(Engine, ReportReplacesValuesAndResetsSends) {
  Engine engine;
  engine.sent_since_report = 3;
  engine.record_report(9, 1.5, 20);
  EXPECT_EQ(engine.reported_queries, 9);
  EXPECT_EQ(engine.memory_overcommit, 1.5);
  EXPECT_EQ(engine.reported_at, 20);
  EXPECT_EQ(engine.sent_since_report, 0);
}

TEST(Engine, IsIdleWhenRemovedWithoutAttemptsInFlight) {
  Engine engine;
  EXPECT_FALSE(engine.is_removed_and_idle());
  engine.entry.state = EngineState::kRemoved;
  EXPECT_TRUE(engine.is_removed_and_idle());
  engine.attempts_in_flight = 1;
  EXPECT_FALSE(engine.is_removed_and_idle());
}

TEST(RequestTable, RemovesMarkedRequestsThatAreCompletedAndNotInFlight) {
  RequestTable table;
  RequestArrived arrived;
  arrived.id = 4;
  arrived.deadline = 100;
  arrived.group = 9;
  Request& request = table.add(arrived);
  EXPECT_EQ(table.find(4), &request);
  EXPECT_EQ(request.deadline, 100);
  EXPECT_EQ(request.group, 9u);
  EXPECT_EQ(table.find(5), nullptr);
  request.completed = true;
  request.attempts_in_flight = 1;
  table.mark_completed(request);
  table.remove_completed();
  EXPECT_TRUE(table.contains(4)) << "an attempt is in flight";
  request.attempts_in_flight = 0;
  table.remove_completed();
  EXPECT_TRUE(table.contains(4)) << "its completion was not marked again";
  table.mark_completed(request);
  table.remove_completed();
  EXPECT_TRUE(table.empty());
}

class OrderedKeysTest : public ::testing::Test {
 protected:
  OrderedKeysTest() {
    state.settings.classes.emplace_back().ordered = true;
    state.settings.ordered_key_cooldown = 50;
    first.key = second.key = 7;
    keys.enter(first);
    keys.enter(second);
  }
  RoutingState state;
  OrderedKeys keys{state};

  // The check that Admission makes of the key.
  [[nodiscard]] bool may_start(const Request& request) const {
    if (!keys.is_ordered(request)) return true;
    return keys.is_first(request) && (!request.attempts.empty() || !keys.in_cooldown(request));
  }
  Request first;
  Request second;
};

TEST_F(OrderedKeysTest, RunsOneRequestOfAKeyAtATime) {
  EXPECT_TRUE(may_start(first));
  EXPECT_FALSE(may_start(second));
  keys.remove_if_done(first);
  EXPECT_FALSE(may_start(second)) << "the first is not completed";
  first.completed = true;
  first.attempts_in_flight = 1;
  keys.remove_if_done(first);
  EXPECT_FALSE(may_start(second)) << "it may still run";
  first.attempts_in_flight = 0;
  keys.remove_if_done(first);
  EXPECT_TRUE(may_start(second));
}

TEST_F(OrderedKeysTest, NextRequestOfAKeyWaitsForTheCooldown) {
  first.completed = true;
  keys.start_cooldown(first);
  keys.remove_if_done(first);
  EXPECT_FALSE(may_start(second));
  state.now = 50;
  EXPECT_TRUE(may_start(second));
}

TEST_F(OrderedKeysTest, RequestsWithoutKeyOrOrderedClassMayStart) {
  Request unordered;
  EXPECT_TRUE(may_start(unordered));
  state.settings.classes[0].ordered = false;
  EXPECT_TRUE(may_start(second));
}

TEST(RetryBudgetCounter, AllowsRetriesInProportionToRecentRequests) {
  const RetryBudget budget{.min_retries = 1, .retry_ratio = 0.5, .window = 100};
  RetryBudgetCounter counter;
  EXPECT_TRUE(counter.allows_retry(budget, 0));
  counter.record_retry(0);
  EXPECT_FALSE(counter.allows_retry(budget, 0));
  counter.record_request(budget, 1);
  counter.record_request(budget, 1);
  EXPECT_TRUE(counter.allows_retry(budget, 1));
  counter.record_retry(1);
  EXPECT_FALSE(counter.allows_retry(budget, 1));
  EXPECT_TRUE(counter.allows_retry(budget, 102)) << "the retries are older than the window";
}

ClassSettings named(const std::string& name, Time objective) {
  ClassSettings c;
  c.name = name;
  c.latency_objective = objective;
  return c;
}

TEST(ClassState, IsCarriedOverByIndexAndOtherwiseByName) {
  const std::vector<ClassSettings> before = {named("a", 1), named("b", 2)};
  std::vector<ClassState> known(2);
  known[0].grant_factor = 10;
  known[1].grant_factor = 20;
  const std::vector<ClassSettings> after = {named("a", 1), named("a", 5), named("b", 3), named("c", 4)};
  const auto initial = [](const ClassSettings&) { return ClassState{}; };
  const auto states = carry_over(before, known, after, initial);
  ASSERT_EQ(states.size(), 4u);
  EXPECT_EQ(states[0].grant_factor, 10);
  EXPECT_EQ(states[1].grant_factor, 10) << "changed settings, same name";
  EXPECT_EQ(states[2].grant_factor, 20);
  EXPECT_EQ(states[3].grant_factor, 1) << "new class";
}

TEST(ClassState, ConservativeWorkIsLargerOfBothEstimates) {
  ClassState state;
  state.mean_work = ExponentialAverage(5);
  EXPECT_EQ(state.conservative_work(), 5);
  state.work_by_latency = ExponentialAverage(9);
  EXPECT_EQ(state.conservative_work(), 9);
}

}  // namespace
}  // namespace rookproxy::routing
