// When a directory is asked next. Every dispatcher of a fleet is told the same interval, and a release or a
// returning network starts many at the same moment: in step, a hundred of them ask within the same ten
// milliseconds, five times a second, and a server of fixed capacity answers the last of them late or never.
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

class PollSchedule {
 public:
  // `interval` over 0: the mean time between two questions.
  explicit PollSchedule(Duration interval) : interval_(interval) {}
  // The pause after a question, `draw` being random from 0 to below 1. The first puts the dispatcher anywhere
  // in the interval; later ones vary by a tenth, so that whoever falls into step falls out of it again. At
  // most 1.1 intervals: an engine's drain is heard no later for it than that.
  Duration next_pause(double draw);
  Duration max_pause() const;

 private:
  Duration interval_;
  bool is_first_ = true;
};

}  // namespace rookproxy::policy
