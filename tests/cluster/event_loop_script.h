// Runs an event loop through the steps of a script.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "fakes/sockets.h"
#include "net/event_loop.h"

namespace rookproxy::test {

// Waits until the condition holds, then performs the action.
struct ScriptStep {
  std::function<bool()> is_ready;
  std::function<void()> action = [] {};
};

// Runs the steps in order, and returns whether all were completed within the time limit of the tests.
inline bool run_script(EventLoop& loop, const std::vector<ScriptStep>& steps) {
  std::size_t next = 0;
  const Time deadline = loop.now() + kWaitLimit;
  std::function<void()> check = [&] {
    while (next < steps.size() && steps[next].is_ready()) steps[next++].action();
    if (next == steps.size() || loop.now() > deadline) {
      loop.stop();
      return;
    }
    loop.run_at(loop.now() + std::chrono::milliseconds(1), check);
  };
  loop.run_at(loop.now(), check);
  loop.run();
  return next == steps.size();
}

}  // namespace rookproxy::test
