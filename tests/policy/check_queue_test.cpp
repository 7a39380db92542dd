// Tests the order of signature checks and the CPU time that they take.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "policy/check_queue.h"
#include "policy/credentials.h"

namespace rookproxy {
namespace {

using namespace policy;
using namespace std::chrono_literals;
using test::kNow;

}  // namespace

TEST_CASE("check queue: a flood of invalid tokens does not delay proven and new sources") {
  CheckQueue::Limits limits;
  CheckQueue queue(limits);
  Time now = kNow;
  CHECK(queue.admit(1, 1, now) == CheckQueue::Admission::kRunNow);
  CHECK_FALSE(queue.record_check(1, 100us, true, now));
  // 200 sources send one invalid token each, which exceeds the budget.
  std::uint64_t id = 100;
  for (CheckQueue::SourceId source = 1000; source < 1200; ++source) {
    if (queue.admit(id, source, now) == CheckQueue::Admission::kRunNow)
      queue.record_check(source, 500us, false, now);
    ++id;
  }
  CHECK(queue.waiting_count() > 100);
  // A proven source does not wait for them.
  CHECK(queue.admit(2, 1, now) == CheckQueue::Admission::kRunNow);
  queue.record_check(1, 100us, true, now);
  // Many checks of one new source do not delay the check of another.
  for (int i = 0; i < 20; ++i) queue.admit(id++, 5000, now);
  queue.admit(7, 6000, now);
  std::vector<CheckQueue::CheckId> order;
  while (order.size() < 200 && queue.waiting_count() > 0) {
    now += 5ms;
    while (const auto next = queue.take_next(now)) {
      order.push_back(*next);
      queue.record_check(*next == 7 ? 6000 : 1000 + (*next - 100), 500us, false, now);
    }
    if (std::find(order.begin(), order.end(), 7u) != order.end()) break;
  }
  REQUIRE(!order.empty());
  CHECK(order.back() == 7);
  CHECK(std::count_if(order.begin(), order.end(), [&](auto check) { return check >= 300; }) <= 2);
}

TEST_CASE("check queue: the CPU time of all checks stays within the configured share") {
  CheckQueue::Limits limits;
  CheckQueue queue(limits);
  Time now = kNow;
  Duration cpu_time{};
  std::uint64_t id = 1;
  for (int ms = 0; ms < 2000; ++ms, now += 1ms) {
    for (int i = 0; i < 10; ++i, ++id) {
      // 10,000 checks per second, each from a new source.
      if (queue.admit(id, id, now) != CheckQueue::Admission::kRunNow) continue;
      queue.record_check(id, 100us, false, now);
      cpu_time += 100us;
    }
    while (const auto next = queue.take_next(now)) {
      queue.record_check(*next, 100us, false, now);
      cpu_time += 100us;
    }
    for (const auto overdue_check : queue.take_overdue(now)) (void)overdue_check;
    REQUIRE(queue.waiting_count() <= limits.max_waiting + 1);
  }
  CHECK(cpu_time <= 2000ms * limits.cpu_share + limits.burst + 100us);
  CHECK(cpu_time >= 2000ms * limits.cpu_share * 0.9);
}

TEST_CASE("check queue: overdue checks are returned, removed sources dropped, failing sources to be closed") {
  CheckQueue queue(CheckQueue::Limits{});
  CHECK(queue.admit(1, 1, kNow) == CheckQueue::Admission::kRunNow);
  queue.record_check(1, 10s, false, kNow);  // Exhausts the common budget.
  CHECK(queue.admit(2, 2, kNow) == CheckQueue::Admission::kWait);
  CHECK(queue.admit(3, 3, kNow + 500ms) == CheckQueue::Admission::kWait);
  CHECK(*queue.next_wake_time(kNow) == kNow + 1s);
  CHECK(queue.take_overdue(kNow + 999ms).empty());
  CHECK(queue.take_overdue(kNow + 1s) == std::vector<CheckQueue::CheckId>{2});
  queue.remove_source(3);
  CHECK(queue.waiting_count() == 0);
  CHECK_FALSE(queue.next_wake_time(kNow));
  CHECK_FALSE(queue.take_next(kNow + 200s));
  CHECK_FALSE(queue.record_check(9, 1us, false, kNow));
  CHECK_FALSE(queue.record_check(9, 1us, false, kNow));
  CHECK(queue.record_check(9, 1us, false, kNow));
  CHECK_FALSE(queue.record_check(9, 1us, true, kNow));
  // Both budgets are exhausted for longer than the following checks wait.
  queue.record_check(1, 10s, false, kNow + 200s);
  queue.record_check(9, 10s, true, kNow + 200s);
  for (std::uint64_t id = 10; id < 42; ++id) CHECK(queue.admit(id, 7, kNow) == CheckQueue::Admission::kWait);
  CHECK(queue.admit(50, 7, kNow) == CheckQueue::Admission::kRejected);
  CHECK(queue.retry_after() >= 50ms);
  queue.cancel(10);
  CHECK(queue.admit(50, 7, kNow) == CheckQueue::Admission::kWait);
}

}  // namespace rookproxy
