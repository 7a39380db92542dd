// Tests of the timer.
#include "net/timer.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "net/clock.h"
#include "net/event_loop.h"

using namespace rookproxy;
using namespace std::chrono_literals;

TEST_CASE("timer: a task runs once, and not after the timer is replaced, cancelled or destroyed") {
  Time now{1h};
  manual_clock = &now;
  EventLoop loop;
  std::string ran;
  std::optional<Timer> destroyed(loop);
  Timer cancelled(loop);
  Timer replaced(loop);
  destroyed->set(now + 1ms, [&] { ran += 'd'; });
  cancelled.set(now + 1ms, [&] { ran += 'c'; });
  replaced.set(now + 1ms, [&] { ran += 'x'; });
  replaced.set(now + 2ms, [&] {
    replaced.mark_as_run();
    ran += 'r';
  });
  Timer moved(std::move(replaced));
  CHECK_FALSE(replaced.is_set());
  CHECK(moved.is_set());
  destroyed.reset();
  cancelled.cancel();
  CHECK_FALSE(cancelled.is_set());
  now += 2ms;
  loop.poll();
  loop.poll();
  CHECK(ran == "r");
  CHECK(loop.next_timer_due() == Time::max());
  manual_clock = nullptr;
}
