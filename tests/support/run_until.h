// Runs an event loop until a condition holds.
#pragma once

#include <functional>

#include "fakes/sockets.h"
#include "net/event_loop.h"

namespace rookproxy::test {

// Evaluates the condition every millisecond of the loop's time. Returns false if it does not hold within the
// limit.
template <class Condition>
bool run_until(EventLoop& loop, Condition condition, Duration limit = Duration(kWaitLimit)) {
  const Time deadline = loop.now() + limit;
  bool holds = false;
  std::function<void()> poll = [&] {
    holds = condition();
    if (holds || loop.now() >= deadline) return loop.stop();
    loop.run_at(loop.now() + std::chrono::milliseconds(1), poll);
  };
  loop.run_at(loop.now(), poll);
  loop.run();
  return holds;
}

}  // namespace rookproxy::test
