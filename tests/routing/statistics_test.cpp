// Tests of the statistics types that the routing components use.
#include <gtest/gtest.h>

#include <cmath>

#include "routing/decaying_counter.h"
#include "routing/event_window.h"
#include "routing/exponential_average.h"
#include "routing/median.h"
#include "routing/range.h"
#include "routing/streaming_median.h"
#include "routing/threads_by_priority.h"
#include "routing/tick_timer.h"
#include "routing/token_bucket.h"

namespace rookproxy::routing {
namespace {

TEST(ExponentialAverage, MovesByTheWeightOfEachSample) {
  ExponentialAverage average(10);
  average.add(20, 0.1);
  EXPECT_DOUBLE_EQ(average.value(), 11);
  average.add(11, 1);
  EXPECT_DOUBLE_EQ(average.value(), 11);
  average.scale(0.5);
  EXPECT_DOUBLE_EQ(average.value(), 5.5);
}

TEST(ExponentialAverage, AddingZeroIsTheSameAsScalingDown) {
  ExponentialAverage added(0.7);
  added.add(0, 0.05);
  EXPECT_EQ(added.value(), 0.7 - 0.05 * 0.7);
}

TEST(StreamingMedian, ConvergesToTheMedianOfTheSamples) {
  double median = 1;
  for (int i = 0; i < 2000; ++i) median = step_median(median, i % 3 == 0 ? 1000 : 10 + i % 3, 0.01);
  EXPECT_NEAR(median, 12, 0.5);
  EXPECT_DOUBLE_EQ(step_median(2, 2, 0.5), 1);  // A sample equal to the median counts as below it.
}

TEST(DecayingCounter, DecaysExponentiallyWithAge) {
  DecayingCounter counter;
  counter.add(4, 1'000, 500);
  EXPECT_DOUBLE_EQ(counter.value(1'000, 500), 4);
  EXPECT_DOUBLE_EQ(counter.value(1'500, 500), 4 * std::exp(-1));
  counter.add(1, 1'500, 500);
  EXPECT_DOUBLE_EQ(counter.value(1'500, 500), 4 * std::exp(-1) + 1);
}

TEST(DecayingCounter, StartsWithTheGivenAmount) { EXPECT_DOUBLE_EQ(DecayingCounter(3, 7).value(7, 100), 3); }

TEST(TokenBucket, GrantsSavedTokensAndThenTheRate) {
  TokenBucket bucket(2, 0);
  EXPECT_TRUE(bucket.try_take(1, 2, 0));
  EXPECT_TRUE(bucket.try_take(1, 2, 0));
  EXPECT_FALSE(bucket.try_take(1, 2, 500'000));
  EXPECT_TRUE(bucket.try_take(1, 2, 1'000'000));
  EXPECT_FALSE(bucket.try_take(1, 2, 1'000'000));
}

TEST(TokenBucket, SavesNoMoreThanItsCapacity) {
  TokenBucket bucket(0, 0);
  int taken = 0;
  while (bucket.try_take(1, 3, 60'000'000)) ++taken;
  EXPECT_EQ(taken, 3);
}

TEST(EventWindow, CountsEventsSinceTheGivenTime) {
  EventWindow window;
  for (const Time at : {10, 20, 20, 30}) window.add(at);
  EXPECT_EQ(window.count_since(20), 3);
  EXPECT_EQ(window.count_since(31), 0);
  window.drop_before(20);
  EXPECT_EQ(window.count_since(0), 3);
}

TEST(WorkWindow, SumsTheSendsWithinTheWindow) {
  WorkWindow window;
  EXPECT_TRUE(window.empty());
  window.add(10, 1);
  window.add(20, 2);
  EXPECT_EQ(window.total_with(4), 7);
  window.drop_until(10);
  EXPECT_EQ(window.total_with(4), 6);
  window.drop_until(20);
  EXPECT_TRUE(window.empty());
}

TEST(ThreadsByPriority, SumsThreadsAtAndAboveAPriority) {
  ThreadsByPriority threads;
  threads.add(0, 1);
  threads.add(2, 4);
  threads.add(kHighestPriority, 8);
  EXPECT_EQ(threads.at_or_above(0), 13);
  EXPECT_EQ(threads.at_or_above(1), 12);
  EXPECT_EQ(threads.at_or_above(kHighestPriority), 8);
  threads.add(2, -4);
  EXPECT_EQ(threads.at_or_above(0), 9);
}

TEST(ThreadUsage, MeanConvergesToPresentUsage) {
  ThreadUsage usage;
  usage.present.add(1, 8);
  usage.update_mean(1'000, 1'000);
  EXPECT_DOUBLE_EQ(usage.mean.at_or_above(0), 8 * -std::expm1(-1));
  usage.update_mean(1'000, 1'000);  // No time has passed.
  EXPECT_DOUBLE_EQ(usage.mean.at_or_above(0), 8 * -std::expm1(-1));
  usage.update_mean(100'000, 1'000);
  EXPECT_NEAR(usage.mean.at_or_above(0), 8, 1e-9);
}

TEST(Range, ClampsToTheNearestBound) {
  constexpr Range kRange{0.5, 2};
  EXPECT_EQ(kRange.clamp(0.1), 0.5);
  EXPECT_EQ(kRange.clamp(1), 1);
  EXPECT_EQ(kRange.clamp(7), 2);
}

TEST(Median, EvenCountGivesTheUpperMedian) {
  EXPECT_EQ(median({3}), 3);
  EXPECT_EQ(median({5, 1, 3}), 3);
  EXPECT_EQ(median({4, 1, 3, 2}), 3);
}

TEST(TickTimer, ReportsItsLatenessWhileArmed) {
  TickTimer tick;
  EXPECT_FALSE(tick.is_armed());
  EXPECT_EQ(tick.lateness(100), 0);
  EXPECT_EQ(tick.arm(50), 50);
  EXPECT_TRUE(tick.is_armed());
  EXPECT_EQ(tick.lateness(100), 50);
  tick.disarm();
  EXPECT_EQ(tick.lateness(100), 0);
}

}  // namespace
}  // namespace rookproxy::routing
