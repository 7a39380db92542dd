// Tests of the event loop's timers and of its stall detection.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "net/event_loop.h"

using namespace rookproxy;
using namespace std::chrono_literals;

TEST_CASE("event loop: timers run in order, cancelled timers don't run, and a timer may set another") {
  EventLoop loop;
  std::string order;
  const Time now = loop.now();
  loop.run_at(now + 2ms, [&] { order += 'b'; });
  loop.run_at(now + 1ms, [&] { order += 'a'; });
  TimerId cancelled = loop.run_at(now + 1ms, [&] { order += 'x'; });
  loop.cancel(cancelled);
  loop.cancel(cancelled);
  loop.run_at(now, [&] { loop.run_at(now, [&] { order += 'c'; }); });
  loop.run_at(now + 5ms, [&] { loop.stop(); });
  loop.run();
  CHECK(order.size() == 3);
  CHECK(order.find('a') < order.find('b'));
}

TEST_CASE("event loop: a stalled iteration is reported with its duration") {
  EventLoop loop;
  std::vector<Duration> stalls;
  loop.on_stalled_iteration(50ms, [&](Duration duration) { stalls.push_back(duration); });
  loop.run_at(loop.now(), [] {});
  loop.run_at(loop.now() + 1ms, [] { std::this_thread::sleep_for(60ms); });
  loop.run_at(loop.now() + 2ms, [] {});
  loop.run_at(loop.now() + 100ms, [&] { loop.stop(); });
  loop.run();
  REQUIRE(!stalls.empty());
  CHECK(*std::max_element(stalls.begin(), stalls.end()) >= 60ms);
  for (const Duration stall : stalls) CHECK(stall >= 50ms);
}

// Guards against a timer that sets itself again for the current time and so keeps the iteration running
// forever.
TEST_CASE("event loop: a timer set again for the iteration's time runs in the next iteration, after a wait") {
  EventLoop loop;
  int fired = 0;
  int fired_in_iteration = 0;
  int most_in_iteration = 0;
  std::function<void()> set_again = [&] {
    ++fired;
    ++fired_in_iteration;
    if (fired < 100) {
      loop.run_at(loop.now(), set_again);
    } else {
      loop.stop();
    }
  };
  loop.on_iteration_end([&] {
    most_in_iteration = std::max(most_in_iteration, fired_in_iteration);
    fired_in_iteration = 0;
  });
  TimerId cancelled;
  loop.run_at(loop.now(), [&] { loop.cancel(cancelled); });
  cancelled = loop.run_at(loop.now(), [&] { fired += 1000; });
  loop.run_at(loop.now(), set_again);
  loop.run();
  CHECK(fired == 100);
  CHECK(most_in_iteration == 1);
}
