#include "policy/poll_schedule.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

// By how much of the interval a pause may be shorter or longer than it.
constexpr double kJitter = 0.1;

// A pause of 0 would poll without end.
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
