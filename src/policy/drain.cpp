#include "policy/drain.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

// The longest expected delay of an event loop iteration or a timer.
constexpr Duration kIterationDelay = std::chrono::milliseconds(30);

}  // namespace

Duration drain_margin(Duration max_pause) { return max_pause + kIterationDelay; }

Time latest_drain_start(Time announced_at, Duration grace_period, Duration margin) {
  return announced_at + std::max(Duration(0), grace_period - margin);
}

}  // namespace rookproxy::policy
