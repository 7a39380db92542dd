// Tests of connection policies: retries of unsent attempts, request ids, and responsiveness.
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

TEST_CASE("connect retry: an unsent attempt is retried unless the engine appears to be failing") {
  struct Case {
    UnsentAttempt attempt;
    bool retried;
  };
  for (const Case& test_case :
       {Case{{1, true, false}, true}, Case{{1, false, true}, true}, Case{{2, true, true}, true},
        Case{{1, false, false}, false}, Case{{3, true, true}, false}}) {
    INFO(test_case.attempt.failed_connections << test_case.attempt.connection_was_usable
                                              << test_case.attempt.other_connections_respond);
    CHECK(should_retry_connection(test_case.attempt) == test_case.retried);
  }
}

TEST_CASE("request ids: an id is removed after the retention time, and the history is full at its limit") {
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

TEST_CASE("responsiveness: a connection is unresponsive only if it receives nothing for the timeout") {
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
