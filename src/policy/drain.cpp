#include "policy/drain.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

// A busy iteration of the event loop, or a timer that fires late.
constexpr Duration kIterationDelay = std::chrono::milliseconds(30);

}  // namespace

Duration drain_margin(Duration max_pause) { return max_pause + kIterationDelay; }

Time latest_drain_start(Time announced_at, Duration grace_period, Duration margin) {
  return announced_at + std::max(Duration(0), grace_period - margin);
}

}  // namespace rookproxy::policy
