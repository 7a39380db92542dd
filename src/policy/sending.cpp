#include "policy/sending.h"

namespace rookproxy::policy {

AttemptGuard::AttemptGuard(const RetryRule& rule, EngineLocation to, Time deadline, Time engine_until)
    : retry_rule_(rule), location_(to) {
  limit_start(deadline, "out of time");
  limit_start(engine_until, engine_until == Time::min() ? "engine is gone" : "engine drains");
}

void AttemptGuard::limit_start(Time end, std::string_view why) {
  if (end >= latest_start_) return;
  latest_start_ = end;
  limit_reason_ = why;
}

void AttemptGuard::add_other_attempt(const SentAttempt& other) {
  if (other.in_flight && !retry_rule_.hedging_allowed) conflict_reason_ = "an attempt is out";
  if (!other.may_have_run) return;
  if (retry_rule_.scope == RetryScope::kNowhere) conflict_reason_ = "it may have run";
  if (retry_rule_.scope == RetryScope::kZone && other.location.zone != location_.zone)
    conflict_reason_ = "it may have run elsewhere";
  if (retry_rule_.scope == RetryScope::kCell && other.location.cell != location_.cell)
    conflict_reason_ = "it may have run elsewhere";
  if (retry_rule_.idempotency_window)
    limit_start(other.sent_at + *retry_rule_.idempotency_window, "the window for repeats is over");
}

std::string_view AttemptGuard::blocked_reason(Time now) const {
  if (!conflict_reason_.empty()) return conflict_reason_;
  return now < latest_start_ ? std::string_view() : limit_reason_;
}

}  // namespace rookproxy::policy
