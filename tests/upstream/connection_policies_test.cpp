// What decides about connections: retries of attempts that were never sent, ids, responsiveness.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "net/clock.h"
#include "net/event_loop.h"
#include "upstream/connect_retry.h"
#include "upstream/pool_limits.h"
#include "upstream/request_id_history.h"
#include "upstream/responsiveness_monitor.h"

using namespace rookproxy;
using namespace std::chrono_literals;

TEST_CASE("connect retry: an attempt that was never sent is retried while the engine may be well") {
  struct Case {
    NeverSentAttempt attempt;
    bool retried;
  };
  for (const Case& one :
       {Case{{1, true, false}, true}, Case{{1, false, true}, true}, Case{{2, true, true}, true},
        Case{{1, false, false}, false}, Case{{3, true, true}, false}}) {
    INFO(one.attempt.failed_connections << one.attempt.connection_was_usable
                                        << one.attempt.other_connections_respond);
    CHECK(should_retry_connection(one.attempt) == one.retried);
  }
}

TEST_CASE("request ids: one is remembered for the retention, and many are enough for a connection") {
  RequestIdHistory history;
  const Time start{};
  history.add("first", start, 30s);
  history.add("second", start + 30s, 30s);
  CHECK(history.contains("first"));
  history.add("third", start + 30s + 1ms, 30s);
  CHECK_FALSE(history.contains("first"));
  CHECK(history.contains("second"));
  CHECK_FALSE(history.is_full());
  for (int id = 0; id < 4096; ++id) history.add(std::to_string(id), start + 31s, 30s);
  CHECK(history.is_full());
}

TEST_CASE("responsiveness: only a connection that receives nothing for the timeout is unresponsive") {
  Time now{1h};
  manual_clock = &now;
  EventLoop loop;
  const auto advance = [&](Duration step) {
    now += step;
    loop.poll();
  };
  PoolLimits limits;
  limits.unresponsive_timeout = 1500ms;
  int unresponsive = 0;
  ResponsivenessMonitor monitor(loop, limits, [&] { ++unresponsive; });
  monitor.start();
  advance(1s);
  monitor.record_activity();
  CHECK(monitor.last_activity() == now);
  advance(500ms);
  CHECK(unresponsive == 0);
  advance(1500ms);
  CHECK(unresponsive == 1);
  advance(1500ms);
  CHECK(unresponsive == 2);
  monitor.stop();
  advance(10s);
  CHECK(unresponsive == 2);
  limits.unresponsive_timeout = 0ms;
  monitor.start();
  CHECK(loop.next_timer_due() == Time::max());
  manual_clock = nullptr;
}
