// When the directory is asked, over a whole fleet in virtual time.
#include "policy/poll_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

// The times at which so many dispatchers ask that start at the same moment, in order.
std::vector<Duration> questions(int dispatchers, Duration interval, Duration until) {
  std::vector<Duration> all;
  for (int i = 0; i < dispatchers; ++i) {
    std::mt19937_64 random(static_cast<std::uint64_t>(i) + 1);
    PollSchedule schedule(interval);
    for (Duration at(0); at < until;
         at += schedule.next_pause(std::uniform_real_distribution<double>(0, 1)(random))) {
      all.push_back(at);
    }
  }
  std::sort(all.begin(), all.end());
  return all;
}

TEST_CASE("poll schedule: a fleet that starts at one moment does not ask in step") {
  const auto all = questions(100, 200ms, 20s);
  std::size_t most = 0;
  for (auto from = all.begin(); from != all.end(); ++from) {
    if (*from < 200ms) continue;  // the first question of each is at once: it waits for the list
    const auto to = std::upper_bound(from, all.end(), *from + Duration(10ms));
    most = std::max(most, static_cast<std::size_t>(to - from));
  }
  CHECK(most <= 20);  // 5 if all were even; 100 in step
}

TEST_CASE("poll schedule: the rate stays what it was, and no pause is long") {
  const auto all = questions(100, 200ms, 20s);
  CHECK(all.size() > 9'800);
  CHECK(all.size() < 10'300);
  PollSchedule schedule(200ms);
  CHECK(schedule.next_pause(0.999) <= Duration(200ms));
  for (int i = 0; i <= 100; ++i) {
    const auto pause = schedule.next_pause(i / 100.0);
    CHECK(pause >= Duration(179ms));
    CHECK(pause <= Duration(220ms));
  }
}

TEST_CASE("poll schedule: a draw or an interval at the edge still gives a pause") {
  PollSchedule schedule(1us);
  CHECK(schedule.next_pause(0) >= Duration(1));
  CHECK(schedule.next_pause(-1) >= Duration(1));
  PollSchedule zero(0us);
  CHECK(zero.next_pause(0.5) >= Duration(1));  // never a loop without a wait
}

}  // namespace
}  // namespace rookproxy::policy
