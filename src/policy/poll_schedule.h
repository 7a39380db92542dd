// Decides when service discovery is polled next.
//
// All dispatchers have the same poll interval, and a release or a recovering network starts many of them at
// the same time. Without jitter they would poll at the same moments and overload the service discovery
// server.
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

// Computes the pauses between polls, with jitter that spreads the dispatchers over the interval.
class PollSchedule {
 public:
  // `interval` is the mean time between two polls and must be positive.
  explicit PollSchedule(Duration interval) : interval_(interval) {}

  // Returns the pause after a poll; `random` is uniform in [0, 1). The first pause is uniform over the
  // interval; later ones vary by 10 % around it, so that dispatchers that have synchronized separate again.
  [[nodiscard]] Duration next_pause(double random);

  // The longest pause: 1.1 intervals. Without lost responses a drain is noticed within this time.
  [[nodiscard]] Duration max_pause() const;

 private:
  Duration interval_;
  bool is_first_ = true;
};

}  // namespace rookproxy::policy
