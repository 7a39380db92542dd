#include "policy/unanswered_polls.h"

#include <algorithm>

namespace rookproxy::policy {

void UnansweredPolls::on_poll_sent(Time at) {
  if (sent_at_.size() == kMaxPolls) sent_at_.erase(sent_at_.begin() + 1);  // The first one is kept.
  sent_at_.push_back(at);
}

void UnansweredPolls::on_answered(Time sent_at) {
  if (last_answered_ && sent_at <= *last_answered_) return;
  last_answered_ = sent_at;
  std::erase_if(sent_at_, [sent_at](Time other) { return other <= sent_at; });
}

Time UnansweredPolls::earliest_announcement(Duration max_pause, Time now) const {
  return sent_at_.empty() ? now : std::min(now, sent_at_.front() + max_pause);
}

}  // namespace rookproxy::policy
