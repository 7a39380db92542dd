#include "policy/poll_schedule.h"

#include <algorithm>

namespace rookproxy::policy {

namespace {
constexpr double kJitter = 0.1;
}  // namespace

Duration PollSchedule::next_pause(double draw) {
  draw = std::clamp(draw, 0.0, 1.0);
  const double share = is_first_ ? draw : 1 - kJitter + 2 * kJitter * draw;
  is_first_ = false;
  return std::max(Duration(1),
                  Duration(static_cast<Duration::rep>(static_cast<double>(interval_.count()) * share)));
}

Duration PollSchedule::max_pause() const {
  return std::chrono::duration_cast<Duration>(interval_ * (1 + kJitter));
}

}  // namespace rookproxy::policy
