// Determines the earliest time at which the content of an endpoint list may have been announced, from the
// polls that were not answered before it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// Tracks the polls that were sent after the last one that was answered with the newest list. The response to
// any of them may have been lost, and a grace period starts when the response that announces it is sent. Only
// a response with the newest list answers a poll here; an older list does not show what has been announced.
class UnansweredPolls {
 public:
  void on_poll_sent(Time at);
  // To be called when the poll sent at `sent_at` was answered with the newest list. If responses arrive out
  // of order, the one to the later poll counts.
  void on_answered(Time sent_at);

  // The earliest time at which a list received at `now` may have been announced, apart from `max_pause`, the
  // longest time between two polls, which drain_margin() accounts for.
  [[nodiscard]] Time earliest_announcement(Duration max_pause, Time now) const;

 private:
  // The first poll is always kept; later ones are needed only when a late response removes it.
  static constexpr std::size_t kMaxPolls = 64;

  // The times at which the unanswered polls were sent, in order.
  std::vector<Time> sent_at_;
  std::optional<Time> last_answered_;
};

}  // namespace rookproxy::policy
