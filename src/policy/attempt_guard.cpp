#include "policy/attempt_guard.h"

namespace rookproxy::policy {

std::string_view to_text(BlockReason reason) {
  switch (reason) {
    case BlockReason::kRequestCompleted:
      return "request already completed";
    case BlockReason::kUnknownEngine:
      return "unknown engine";
    case BlockReason::kTooManyAttempts:
      return "too many attempts";
    case BlockReason::kAttemptInFlight:
      return "another attempt is in flight";
    case BlockReason::kMayHaveRun:
      return "an earlier attempt may have run";
    case BlockReason::kMayHaveRunElsewhere:
      return "an earlier attempt may have run outside the retry scope of this engine";
    case BlockReason::kDeadlineExceeded:
      return "deadline exceeded";
    case BlockReason::kEngineDraining:
      return "drain grace period of the engine is over";
    case BlockReason::kEngineRemoved:
      return "engine was removed";
    case BlockReason::kIdempotencyWindowOver:
      return "idempotency window is over";
  }
  return "";
}

std::string_view to_metric_word(BlockReason reason) {
  switch (reason) {
    case BlockReason::kRequestCompleted:
      return "request_completed";
    case BlockReason::kUnknownEngine:
      return "unknown_engine";
    case BlockReason::kTooManyAttempts:
      return "too_many_attempts";
    case BlockReason::kAttemptInFlight:
      return "attempt_in_flight";
    case BlockReason::kMayHaveRun:
      return "may_have_run";
    case BlockReason::kMayHaveRunElsewhere:
      return "may_have_run_elsewhere";
    case BlockReason::kDeadlineExceeded:
      return "deadline_exceeded";
    case BlockReason::kEngineDraining:
      return "engine_draining";
    case BlockReason::kEngineRemoved:
      return "engine_removed";
    case BlockReason::kIdempotencyWindowOver:
      return "idempotency_window_over";
  }
  return "";
}

AttemptGuard::AttemptGuard(const RetryRule& rule, EngineLocation location, Time deadline,
                           Time engine_accepts_until)
    : retry_rule_(rule), location_(location) {
  limit_start(deadline, BlockReason::kDeadlineExceeded);
  const bool is_removed = engine_accepts_until == Time::min();
  limit_start(engine_accepts_until, is_removed ? BlockReason::kEngineRemoved : BlockReason::kEngineDraining);
}

void AttemptGuard::limit_start(Time end, BlockReason reason) {
  if (end >= latest_start_) return;
  latest_start_ = end;
  limit_reason_ = reason;
}

void AttemptGuard::add_other_attempt(const SentAttempt& other) {
  if (other.in_flight && !retry_rule_.hedging_allowed) conflict_reason_ = BlockReason::kAttemptInFlight;
  if (!other.may_have_run) return;
  const bool other_zone = other.location.zone != location_.zone;
  const bool other_cell = other.location.cell != location_.cell;
  if (retry_rule_.scope == RetryScope::kNowhere) conflict_reason_ = BlockReason::kMayHaveRun;
  if ((retry_rule_.scope == RetryScope::kZone && other_zone) ||
      (retry_rule_.scope == RetryScope::kCell && other_cell)) {
    conflict_reason_ = BlockReason::kMayHaveRunElsewhere;
  }
  if (retry_rule_.idempotency_window) {
    limit_start(other.sent_at + *retry_rule_.idempotency_window, BlockReason::kIdempotencyWindowOver);
  }
}

std::optional<BlockReason> AttemptGuard::blocked_reason(Time now) const {
  if (conflict_reason_) return conflict_reason_;
  return now < latest_start_ ? std::nullopt : limit_reason_;
}

}  // namespace rookproxy::policy
