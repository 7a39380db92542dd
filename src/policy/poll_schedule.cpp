#include "policy/poll_schedule.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

// The largest deviation of a pause from the interval, as a fraction of the interval.
constexpr double kJitter = 0.1;

// Guards against polling in a busy loop.
constexpr Duration kMinPause(1);

}  // namespace

Duration PollSchedule::next_pause(double random) {
  const double fraction = std::clamp(random, 0.0, 1.0);
  const double intervals = is_first_ ? fraction : 1 - kJitter + 2 * kJitter * fraction;
  is_first_ = false;
  const double pause = static_cast<double>(interval_.count()) * intervals;
  return std::max(kMinPause, Duration(static_cast<Duration::rep>(pause)));
}

Duration PollSchedule::max_pause() const {
  return std::chrono::duration_cast<Duration>(interval_ * (1 + kJitter));
}

}  // namespace rookproxy::policy
