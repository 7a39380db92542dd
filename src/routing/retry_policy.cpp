#include "routing/retry_policy.h"

#include <algorithm>

namespace rookproxy::routing {
// After this many errors from healthy engines, the request itself is considered faulty.
constexpr int kMaxSuspectedAttempts = 2;

static bool includes(const std::optional<std::vector<std::uint32_t>>& allowed, std::uint32_t item) {
  return !allowed || std::find(allowed->begin(), allowed->end(), item) != allowed->end();
}

bool RetryPolicy::engine_allowed(const Engine& engine, const Request& request) const {
  if (!engine.is_serving()) return false;
  const ClassSettings& c = state_.settings_of(request);
  const bool zone_allowed = includes(c.allowed_zones, engine.entry.zone);
  if (!zone_allowed || !includes(c.allowed_machine_types, engine.entry.machine_type)) return false;
  if (c.idempotency == Idempotency::kIdempotent) return true;
  const auto scope = c.idempotency_scope.value_or(IdempotencyScope::kCell);
  return std::none_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
    if (!attempt.may_have_run) return false;
    if (c.idempotency == Idempotency::kNonIdempotent || !c.idempotency_window) return true;
    if (state_.now - attempt.sent_at >= *c.idempotency_window) return true;
    // Outside the scope, no engine detects the duplicate.
    return !attempt.shares_scope(engine.entry, scope);
  });
}

bool RetryPolicy::attempt_allowed(const Request& request, int in_flight) const {
  if (request.completed || state_.now >= request.deadline) return false;
  if (request.attempts.size() >= max_attempts(request)) return false;
  if (in_flight > 0 && (!state_.settings.hedging || in_flight > 1)) return false;
  const auto& budget = state_.settings.retry_budget;
  return request.attempts.empty() || !budget || budget_counter_.allows_retry(*budget, state_.now);
}

bool RetryPolicy::may_continue(const Request& request) const {
  if (request.attempts.size() >= max_attempts(request) || !has_time_left(request)) return false;
  if (request_faulty(request)) return false;
  const bool is_idempotent = state_.settings_of(request).idempotency == Idempotency::kIdempotent;
  return is_idempotent || !request.may_have_run() ||
         std::any_of(state_.engines.begin(), state_.engines.end(),
                     [&](const auto& entry) { return engine_allowed(entry.second, request); });
}

bool RetryPolicy::request_faulty(const Request& request) {
  return request.suspected_attempts() >= kMaxSuspectedAttempts;
}

bool RetryPolicy::has_time_left(const Request& request) const {
  const double latency_ratio = std::max(1.0, state_.class_of(request).latency_ratio.value());
  return state_.now + static_cast<Time>(latency_ratio * state_.run_time(request)) <= request.deadline;
}

bool RetryPolicy::safe_to_retry(const Request& request) const {
  const ClassSettings& c = state_.settings_of(request);
  return c.idempotency == Idempotency::kIdempotent || !request.may_have_run() ||
         (c.idempotency == Idempotency::kKeyed && c.idempotency_scope == IdempotencyScope::kAll);
}

}  // namespace rookproxy::routing
