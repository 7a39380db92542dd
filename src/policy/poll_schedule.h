// Decides when service discovery is polled next.
//
// All dispatchers are configured with the same interval, and a release or a recovering network starts many at
// once. If they polled in step, a hundred of them would poll within the same ten milliseconds, and a server
// of fixed capacity would respond to the last of them late or never.
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

// Pauses between polls, with jitter that spreads the dispatchers over the interval.
class PollSchedule {
 public:
  // `interval` is the mean time between two polls, over 0.
  explicit PollSchedule(Duration interval) : interval_(interval) {}

  // The pause after a poll; `random` is uniform in [0, 1). The first pause puts the dispatcher anywhere in
  // the interval; later ones vary by a tenth, so that dispatchers that fall into step separate again.
  [[nodiscard]] Duration next_pause(double random);

  // The longest pause: 1.1 intervals, by which an engine's drain is noticed at the latest.
  [[nodiscard]] Duration max_pause() const;

 private:
  Duration interval_;
  bool is_first_ = true;
};

}  // namespace rookproxy::policy
