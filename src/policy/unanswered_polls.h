/// Decides since when the content of an endpoint list counts as announced, from the polls that went
/// unanswered before it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

/// The polls that were sent after the last one that was answered with the newest list. Any of them may have
/// been answered by a response that was lost on its way, and what it announced binds from then on. So only a
/// response with the newest list ends the wait: one with an older list says nothing of what was announced.
class UnansweredPolls {
 public:
  void on_poll_sent(Time at);
  /// The poll sent at `sent_at` was answered with the newest list. Of two responses that overtake each other
  /// the one to the later poll counts.
  void on_answered(Time sent_at);

  /// Since when a list received at `now` may have been announced to this process. `max_pause` is the longest
  /// time between two polls, which drain_margin() covers already.
  [[nodiscard]] Time announced_since(Duration max_pause, Time now) const;

 private:
  // Those behind the first one only matter once a late response moves it forward.
  static constexpr std::size_t kMaxPolls = 64;

  std::vector<Time> sent_at_;  // of the unanswered polls, in order
  std::optional<Time> last_answered_;
};

}  // namespace rookproxy::policy
