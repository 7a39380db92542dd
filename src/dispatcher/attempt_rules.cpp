#include "dispatcher/attempt_rules.h"

#include "dispatcher/routing_time.h"

namespace rookproxy {
namespace {

policy::RetryScope retry_scope(routing::IdempotencyScope scope) {
  switch (scope) {
    case routing::IdempotencyScope::kAll:
      return policy::RetryScope::kAnywhere;
    case routing::IdempotencyScope::kZone:
      return policy::RetryScope::kZone;
    case routing::IdempotencyScope::kCell:
      break;
  }
  return policy::RetryScope::kCell;
}

}  // namespace

std::optional<policy::BlockReason> AttemptRules::check_send(const Request* request, EngineId engine,
                                                            Time now) const {
  using policy::BlockReason;
  if (!request || request->is_completed) return BlockReason::kRequestCompleted;
  if (!engines_.contains(engine)) return BlockReason::kUnknownEngine;
  const std::size_t next_number = request->attempts.size();
  if (next_number >= settings_.class_settings(request->incoming.class_index).max_attempts) {
    return BlockReason::kTooManyAttempts;
  }
  return guard(*request, engine, next_number).blocked_reason(now);
}

std::optional<policy::BlockReason> AttemptRules::check_start(const Request& request, std::uint32_t number,
                                                             Time now) const {
  if (request.is_completed) return policy::BlockReason::kRequestCompleted;
  return guard(request, request.attempts[number].engine, number).blocked_reason(now);
}

Time AttemptRules::latest_start(const Request& request, std::uint32_t number) const {
  return guard(request, request.attempts[number].engine, number).latest_start();
}

bool AttemptRules::may_reject(const Request& request) const {
  return policy::may_reject(retry_rule(request), request.may_have_run());
}

policy::RetryRule AttemptRules::retry_rule(const Request& request) const {
  const routing::ClassSettings& cls = settings_.class_settings(request.incoming.class_index);
  policy::RetryRule rule;
  rule.hedging_allowed = settings_.active().hedging;
  if (cls.idempotency == routing::Idempotency::kIdempotent) {
    rule.scope = policy::RetryScope::kAnywhere;
  } else if (cls.idempotency == routing::Idempotency::kKeyed) {
    rule.scope = retry_scope(cls.idempotency_scope.value_or(routing::IdempotencyScope::kCell));
    rule.idempotency_window = from_routing_duration(cls.idempotency_window.value_or(0));
  }
  return rule;
}

policy::AttemptGuard AttemptRules::guard(const Request& request, EngineId engine, std::size_t number) const {
  const EngineEndpoint& endpoint = engines_.endpoint(engine);
  const policy::EngineLocation location{endpoint.zone, endpoint.cell};
  policy::AttemptGuard guard(retry_rule(request), location, request.incoming.deadline,
                             engines_.accepts_attempts_until(engine));
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (i == number) continue;
    const Attempt& other = request.attempts[i];
    guard.add_other_attempt(
        {other.sent_at, {other.zone_name, other.cell}, other.in_flight, other.may_have_run});
  }
  return guard;
}

}  // namespace rookproxy
