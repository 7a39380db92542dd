// The event loop's timers.
#include "net/event_loop.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "net/append_mark.h"

using namespace rookproxy;
using namespace std::chrono_literals;

namespace {

void run_for(EventLoop& loop, Duration duration) {
  loop.run_at(loop.now() + duration, [&loop] {
    loop.stop();
  });
  loop.run();
}

}  // namespace

TEST_CASE("event loop: timers fire in order, cancelled ones don't, one set by a timer waits") {
  EventLoop loop;
  std::string order;
  const Time now = loop.now();
  loop.run_at(now + 2ms, test::append_mark(order, 'b'));
  loop.run_at(now + 1ms, test::append_mark(order, 'a'));
  TimerId cancelled = loop.run_at(now + 1ms, test::append_mark(order, 'x'));
  loop.cancel(cancelled);
  loop.cancel(cancelled);
  loop.run_at(now, [&] {
    // Due at once, and yet not in this iteration.
    loop.run_at(now, test::append_mark(order, 'c'));
  });
  run_for(loop, 5ms);
  CHECK(order.size() == 3);
  CHECK(order.find('a') < order.find('b'));
}

TEST_CASE("event loop: a stalled iteration is reported with its duration") {
  EventLoop loop;
  std::vector<Duration> stalls;
  loop.on_stalled_iteration(50ms, [&](Duration duration) {
    stalls.push_back(duration);
  });
  loop.run_at(loop.now(), [] {});
  loop.run_at(loop.now() + 1ms, [] {
    std::this_thread::sleep_for(60ms);
  });
  loop.run_at(loop.now() + 2ms, [] {});
  run_for(loop, 100ms);
  REQUIRE(!stalls.empty());
  CHECK(*std::max_element(stalls.begin(), stalls.end()) >= 60ms);
  for (const Duration stall : stalls) CHECK(stall >= 50ms);
}

// A timer that set itself again for the iteration's time once kept the iteration running for ever: no wait,
// and the clock stood still. The decision module's timers did so on a full-size day.
TEST_CASE("event loop: a timer set again for the iteration's time runs in the next iteration, after a wait") {
  EventLoop loop;
  std::string wrongly_run;
  int fired = 0;
  int fired_in_iteration = 0;
  int most_in_iteration = 0;
  std::function<void()> rearm = [&] {
    ++fired;
    ++fired_in_iteration;
    if (fired < 100) {
      loop.run_at(loop.now(), rearm);
    } else {
      loop.stop();
    }
  };
  loop.on_iteration_end([&] {
    most_in_iteration = std::max(most_in_iteration, fired_in_iteration);
    fired_in_iteration = 0;
  });
  TimerId cancelled;
  loop.run_at(loop.now(), [&] {
    loop.cancel(cancelled);
  });
  cancelled = loop.run_at(loop.now(), test::append_mark(wrongly_run, 'x'));
  loop.run_at(loop.now(), rearm);
  loop.run();
  CHECK(wrongly_run.empty());
  CHECK(fired == 100);
  CHECK(most_in_iteration == 1);
}
