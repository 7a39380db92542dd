#include "decide/poll_schedule.h"

#include <algorithm>

namespace rookproxy::decide {

namespace {
constexpr double kVaries = 0.1;
}  // namespace

Duration PollSchedule::next(double draw) {
  draw = std::clamp(draw, 0.0, 1.0);
  const double share = first_ ? draw : 1 - kVaries + 2 * kVaries * draw;
  first_ = false;
  return std::max(Duration(1),
                  Duration(static_cast<Duration::rep>(static_cast<double>(interval_.count()) * share)));
}

Duration PollSchedule::longest_pause() const {
  return std::chrono::duration_cast<Duration>(interval_ * (1 + kVaries));
}

}  // namespace rookproxy::decide
