#include "routing/request_lifecycle.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace rookproxy::routing {

void RequestLifecycle::join_queue(Request& request, Engine& engine) {
  request.queued_on = &engine;
  engine.queue.push_back(&request);
}

void RequestLifecycle::leave_queue(Request& request) {
  if (!request.queued_on) return;
  auto& queue = request.queued_on->queue;
  queue.erase(std::find(queue.begin(), queue.end(), &request));
  request.queued_on = nullptr;
}

void RequestLifecycle::send(Request& request, Engine& engine, int priority) {
  const Settings& settings = state_.settings;
  const double grant = state_.memory_grant(request);
  SetExecutionOptions options{request.id, std::nullopt, settings.priorities_supported ? priority : 1};
  if (settings.memory_grants_supported && request.memory_mb) options.memory_mb = grant;
  if (settings.priorities_supported || settings.memory_grants_supported) state_.emit(options);
  state_.emit(Send{request.id, engine.entry.id, std::nullopt});
  leave_queue(request);

  Attempt attempt;
  attempt.target = &engine;
  attempt.engine_id = engine.entry.id;
  attempt.zone = engine.entry.zone;
  attempt.cell = engine.entry.cell;
  attempt.sent_at = state_.now;
  attempt.last_update_at = state_.now;
  attempt.priority = priority;
  attempt.granted_memory_mb = grant;
  attempt.sent_during_warm_up = slow_start_.warming_up(engine);
  request.attempts.push_back(attempt);

  ++request.attempts_in_flight;
  ++engine.attempts_in_flight;
  ++engine.sent_since_report;
  limit_.count_attempt(engine, request, attempt, 1);
  slow_start_.record_send(engine, request);
  GroupAffinity& group = engine.affinity_record(request.group);
  ++(state_.settings_of(request).is_load ? group.active_loads : group.active_readers);
}

void RequestLifecycle::end_attempt(Request& request, Attempt& attempt) {
  Engine& engine = *attempt.target;
  attempt.in_flight = false;
  --request.attempts_in_flight;
  --engine.attempts_in_flight;
  if (!attempt.presumed_lost) limit_.count_attempt(engine, request, attempt, -1);
  GroupAffinity& group = engine.affinity_record(request.group);
  int& active = state_.settings_of(request).is_load ? group.active_loads : group.active_readers;
  if (active > 0) --active;
}

void RequestLifecycle::presume_lost(Request& request, Attempt& attempt) {
  attempt.presumed_lost = true;
  limit_.count_attempt(*attempt.target, request, attempt, -1);
}

void RequestLifecycle::cancel(Request& request, std::size_t attempt) {
  if (request.attempts[attempt].cancelled || !state_.settings.may_cancel) return;
  request.attempts[attempt].cancelled = true;
  state_.emit(Cancel{request.id, static_cast<std::uint32_t>(attempt)});
}

void RequestLifecycle::respond(const Request& request, FinalResponse response) {
  if (response == FinalResponse::kReject) {
    state_.emit(Reject{request.id, state_.settings.max_retry_after});
  } else {
    state_.emit(Fail{request.id});
  }
}

void RequestLifecycle::complete(Request& request, bool cancel_attempts) {
  if (request.completed) return;
  request.completed = true;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].in_flight && cancel_attempts) cancel(request, i);
  }
  leave_queue(request);
  keys_.remove_if_done(request);
  requests_.mark_completed(request);
}

}  // namespace rookproxy::routing
