// Tests the poll times of many dispatchers in virtual time.
#include "policy/poll_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

// The sorted poll times of dispatchers that start at the same time.
std::vector<Duration> poll_times(int dispatchers, Duration interval, Duration until) {
  std::vector<Duration> times;
  std::uniform_real_distribution<double> distribution(0, 1);
  for (int i = 0; i < dispatchers; ++i) {
    std::mt19937_64 random(static_cast<std::uint64_t>(i) + 1);
    PollSchedule schedule(interval);
    for (Duration at(0); at < until; at += schedule.next_pause(distribution(random))) times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  return times;
}

TEST_CASE("poll schedule: the polls of dispatchers that start at the same time are spread") {
  const auto times = poll_times(100, 200ms, 20s);
  std::size_t most_in_10ms = 0;
  for (auto from = times.begin(); from != times.end(); ++from) {
    if (*from < 200ms) continue;  // The first poll of each dispatcher is not delayed.
    const auto to = std::upper_bound(from, times.end(), *from + Duration(10ms));
    most_in_10ms = std::max(most_in_10ms, static_cast<std::size_t>(to - from));
  }
  CHECK(most_in_10ms <= 20);  // 5 with even spacing, 100 without jitter.
}

TEST_CASE("poll schedule: the mean interval is kept, and pauses stay within 10 % of it") {
  const auto times = poll_times(100, 200ms, 20s);
  CHECK(times.size() > 9'800);
  CHECK(times.size() < 10'300);
  PollSchedule schedule(200ms);
  CHECK(schedule.next_pause(0.999) <= Duration(200ms));
  for (int i = 0; i <= 100; ++i) {
    const auto pause = schedule.next_pause(i / 100.0);
    CHECK(pause >= Duration(179ms));
    CHECK(pause <= Duration(220ms));
  }
}

TEST_CASE("poll schedule: a boundary value of the random number or interval still gives a pause") {
  PollSchedule schedule(1us);
  CHECK(schedule.next_pause(0) >= Duration(1));
  CHECK(schedule.next_pause(-1) >= Duration(1));
  PollSchedule zero(0us);
  CHECK(zero.next_pause(0.5) >= Duration(1));  // Guards against a busy loop.
}

}  // namespace
}  // namespace rookproxy::policy
