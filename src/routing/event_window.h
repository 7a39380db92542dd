// Sliding windows of recent events.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// The times of recent events, which must be added in order.
class EventWindow {
 public:
  void add(Time at) { times_.push_back(at); }
  // Drops events before `at`.
  void drop_before(Time at) {
    while (!times_.empty() && times_.front() < at) times_.pop_front();
  }
  // Returns the number of recorded events at or after `at`.
  [[nodiscard]] double count_since(Time at) const {
    return static_cast<double>(times_.end() - std::lower_bound(times_.begin(), times_.end(), at));
  }

 private:
  std::deque<Time> times_;
};

// The work that was sent recently. Sends must be added in order of time.
class WorkWindow {
 public:
  // Records a send of `work` microseconds of one thread.
  void add(Time at, double work) { entries_.push_back({at, work}); }
  // Drops sends at or before `at`.
  void drop_until(Time at) {
    while (!entries_.empty() && entries_.front().at <= at) entries_.pop_front();
  }
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  // Returns `work` plus all recorded work. Adds in the order of the sends, so that the sum is reproducible.
  [[nodiscard]] double total_with(double work) const {
    for (const Entry& entry : entries_) work += entry.work;
    return work;
  }

 private:
  struct Entry {
    Time at = 0;
    double work = 0;
  };
  std::deque<Entry> entries_;
};

}  // namespace rookproxy::routing
