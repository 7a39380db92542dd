#include <algorithm>
#include <utility>
#include <variant>

#include "routing/fleet_summary.h"
#include "routing/outcome.h"
#include "routing/router_impl.h"

namespace rookproxy::routing {
// Interval between checks of open requests.
constexpr Time kTickInterval = 20'000;
// Interval between updates of the fleet statistics.
constexpr Time kFleetInterval = 200'000;
// A periodic timer that is later than this shows that this process was stalled.
constexpr Time kMinStall = 150'000;
// Delay before a rejected subscription is repeated.
constexpr Time kListRetryDelay = 300'000;
// Time for which a load that was seen is assumed to lock its group.
constexpr Time kTableLoadLockTime = 1'000'000;
// Weight of one update in the mean number of own queries per engine.
constexpr double kOwnQueriesWeight = 0.1;

void Router::Impl::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  const bool is_first = state_.begin_batch(now, actions);
  const bool subscribes = state_.settings.engine_list_mode == EngineListMode::kSubscribed;
  if (is_first && subscribes) state_.emit(SubscribeEngineList{});
  state_.set_stalled(tick_.lateness(now) > kMinStall);
  limit_.update_usage();
  for (const auto& event : events) std::visit([this](const auto& one) { on(one); }, event);
  dispatch_queued();
  requests_.remove_completed();
  const bool needs_tick = !tick_.is_armed() && !requests_.empty();
  if (needs_tick) state_.emit(SetTimer{tick_.arm(now + kTickInterval), kTickToken});
}

void Router::Impl::on(const EngineList& list) {
  const Time retry_at = state_.now + kListRetryDelay;
  if (list.kind == EngineListKind::kRejected) return state_.emit(SetTimer{retry_at, kListRetryToken});
  ++list_version_;
  for (const auto& entry : list.entries) {
    Engine& engine = state_.engines[entry.id];
    if (engine.update(entry, state_.settings.machine_types, list_version_)) restart_engine(engine);
  }
  for (auto& [id, engine] : state_.engines) {
    const bool missing = list.kind != EngineListKind::kDelta && engine.list_version != list_version_;
    if (missing) engine.entry.state = EngineState::kRemoved;
    if (!engine.is_serving()) requeue(engine);
  }
  // Engines that warm up are kept for the state of their slow-start budget.
  std::erase_if(state_.engines, [this](const auto& entry) {
    return entry.second.is_removed_and_idle() && !slow_start_.warming_up(entry.second);
  });
  affinity_.plan_placement();
  update_fleet_statistics();
}

void Router::Impl::restart_engine(Engine& engine) {
  engine.warming_since = engine.entry.started_at;
  engine.reported_at = kNever;
  engine.reset_affinity();
  outliers_.reset(engine);
  slow_start_.record_restart(engine);
}

void Router::Impl::update_fleet_statistics() {
  affinity_.refresh_placement();
  FleetSummary summary = summarize_fleet(state_.engines, slow_start_, outliers_);
  fleet_updated_at_ = state_.now;
  if (summary.relative_latencies.empty()) return;
  state_.record_fleet(summary.relative_latencies.size(), summary.cores);
  state_.effective_instances = quota_.update_traffic_share();
  limit_.resize(summary.warm_cores);
  state_.own_queries_per_engine.add(summary.own_queries / state_.serving_engines, kOwnQueriesWeight);
  outliers_.update_fleet(std::move(summary.relative_latencies), summary.failing_engines);
}

void Router::Impl::on(const RequestArrived& arrived) {
  if (arrived.class_index >= state_.settings.classes.size() || requests_.contains(arrived.id)) return;
  Request& request = requests_.add(arrived);
  const ClassSettings& c = state_.settings_of(request);
  Time& longest_timeout = state_.class_of(request).longest_timeout;
  if (!state_.stalled) longest_timeout = std::max(longest_timeout, arrived.deadline - state_.now);
  request.arrived_at = state_.stalled ? std::min(state_.now, arrived.deadline - longest_timeout) : state_.now;
  estimates_.estimate(request, arrived);
  const Time objective =
      c.latency_objective + static_cast<Time>(c.latency_objective_per_work * state_.run_time(request));
  request.objective_at = std::min(request.deadline, request.arrived_at + objective);
  const bool within_quota = quota_.admit(arrived.tenant);
  request.priority_weight = c.priority_weight * (within_quota ? 1 : state_.settings.over_quota_weight);
  admission_.record_request(request);
  retries_.record_request();
  keys_.enter(request);
  state_.emit(SetTimer{request.deadline, kFirstRequestToken + request.id});
  affinity_.record_request(request);
  // A late retry of a client may have no time left.
  shed_if_late(request);
  if (!request.completed) place(request);
}

void Router::Impl::on(const AttemptEnded& ended) {
  Request* const found = requests_.find(ended.request);
  if (!found || ended.attempt >= found->attempts.size() || !found->attempts[ended.attempt].in_flight) return;
  Request& request = *found;
  Attempt& attempt = request.attempts[ended.attempt];
  Engine& engine = *attempt.target;
  const Outcome outcome = ended.outcome;
  lifecycle_.end_attempt(request, attempt);
  attempt.may_have_run = !never_ran(outcome);
  if (may_still_run(outcome)) keys_.start_cooldown(request);
  if (outcome == Outcome::kRejected) reports_.record_rejection(engine);
  record_report(engine, ended.report);
  if (ended.report) reports_.record_report_in_response();
  record_attempt_end(request, attempt, outcome);
  if (outcome == Outcome::kServed) record_success(request, engine, ended);
  if (outcome == Outcome::kError) record_error(attempt, engine);
  if (is_engine_failure(outcome)) record_failure(engine, outcome);
  if (ended.completed || outcome == Outcome::kServed) close(request);
  if (request.completed) {
    keys_.remove_if_done(request);
    requests_.mark_completed(request);
  } else if (request.attempts_in_flight == 0) {
    requeue_or_finish(request);
  }
}

void Router::Impl::requeue_or_finish(Request& request) {
  if (retries_.may_continue(request)) return place(request);
  const bool may_retry = state_.now < request.deadline && !retries_.request_faulty(request);
  finish(request, may_retry ? FinalResponse::kReject : FinalResponse::kFail);
}

void Router::Impl::record_report(Engine& engine, const std::optional<LoadReport>& report) {
  if (report && reports_.record(engine, *report) && !state_.stalled) limit_.record_memory_pressure();
}

void Router::Impl::record_attempt_end(const Request& request, const Attempt& attempt, Outcome outcome) {
  const bool has_updates = attempt.last_update_at > attempt.sent_at;
  const bool unanswered = outcome == Outcome::kNoResponse;
  const bool abandoned = outcome == Outcome::kCancelled && (attempt.presumed_lost || has_updates);
  if (unanswered && !has_updates) monitor_.record_loss(true);
  if (state_.stalled) return;
  const Time elapsed = state_.now - attempt.sent_at;
  if (unanswered || abandoned) estimates_.record_latency(request, *attempt.target, elapsed);
  if (unanswered || outcome == Outcome::kRejected) limit_.record_unanswered();
}

void Router::Impl::record_success(Request& request, Engine& engine, const AttemptEnded& ended) {
  monitor_.record_response();
  outliers_.record_success(engine);
  attribute_earlier_errors(request);
  outliers_.readmit_if_healthy(engine);
  if (state_.stalled) return;
  estimates_.record_response(request, engine, ended);
  const bool in_time = state_.now <= request.objective_at;
  const bool sent_late = request.attempts[ended.attempt].sent_at > admission_.latest_start(request);
  if (in_time || !sent_late) limit_.record_response(engine, in_time);
}

void Router::Impl::record_failure(Engine& engine, Outcome outcome) {
  if (outliers_.record_failure(engine, outcome)) requeue(engine);
}

void Router::Impl::record_error(Attempt& attempt, Engine& engine) {
  attempt.request_suspected = outliers_.recently_successful(engine);
  if (!attempt.request_suspected) record_failure(engine, Outcome::kError);
}

void Router::Impl::attribute_earlier_errors(Request& request) {
  for (auto& attempt : request.attempts) {
    if (!std::exchange(attempt.request_suspected, false)) continue;
    const auto found = state_.engines.find(attempt.engine_id);
    if (found != state_.engines.end()) record_failure(found->second, Outcome::kError);
  }
}

void Router::Impl::on(const AttemptUpdate& update) {
  Request* const found = requests_.find(update.request);
  if (!found || found->completed || update.attempt >= found->attempts.size()) return;
  Request& request = *found;
  Attempt& attempt = request.attempts[update.attempt];
  attempt.last_update_at = state_.now;
  monitor_.record_update();
  attempt.waiting_for_memory = update.kind == AttemptUpdateKind::kWaitingForMemory;
  if (attempt.waiting_for_memory && !state_.settings.memory_grants_supported) limit_.record_memory_pressure();
  if (!attempt.in_flight || attempt.cancelled) return;
  if (update.kind == AttemptUpdateKind::kSpilling && !attempt.spilled) {
    attempt.spilled = true;
    if (state_.settings.memory_pressure == MemoryPressure::kShrink) limit_.record_memory_pressure();
    estimates_.record_spill(request);
  }
  if (update.kind == AttemptUpdateKind::kWaitingForLoad) avoid_table_load(request, update.attempt);
  if (update.kind != AttemptUpdateKind::kProgress) return;
  if (monitor_.runs_too_slowly(request, attempt, update.amount)) cancel_for_retry(request, update.attempt);
}

void Router::Impl::avoid_table_load(Request& request, std::size_t attempt) {
  Engine& blocked_engine = *request.attempts[attempt].target;
  blocked_engine.affinity_record(request.group).load_seen_until = state_.now + kTableLoadLockTime;
  for (const auto& [id, engine] : state_.engines) {
    if (!retries_.engine_allowed(engine, request) || outliers_.unhealthy(engine)) continue;
    const GroupAffinity group = engine.affinity(request.group);
    if (state_.now < group.load_seen_until || group.active_loads > 0) continue;
    return cancel_for_retry(request, attempt);
  }
}

void Router::Impl::on(const ResponseStarted& started) {
  Request* const request = requests_.find(started.request);
  if (!request || started.attempt >= request->attempts.size()) return;
  // A streamed response must not be cancelled.
  request->attempts[started.attempt].cancelled = true;
  close(*request);
}

void Router::Impl::on(const ClientDisconnected& disconnected) {
  if (Request* const request = requests_.find(disconnected.request)) close(*request);
}

void Router::Impl::on(const ProbeEnded& probe) {
  selection_.record_probe_end();
  const auto found = state_.engines.find(probe.engine);
  if (found != state_.engines.end()) record_report(found->second, probe.report);
}

void Router::Impl::on(const TimerFired& timer) {
  if (timer.token == kTickToken) return tick();
  const bool subscribes = state_.settings.engine_list_mode == EngineListMode::kSubscribed;
  if (timer.token == kListRetryToken && subscribes) state_.emit(SubscribeEngineList{});
  if (timer.token < kFirstRequestToken) return;
  Request* const request = requests_.find(timer.token - kFirstRequestToken);
  if (request && state_.now >= request->deadline) finish(*request, FinalResponse::kFail);
}

void Router::Impl::tick() {
  tick_.disarm();
  if (state_.now - fleet_updated_at_ >= kFleetInterval) update_fleet_statistics();
  for (auto& [id, request] : requests_) {
    shed_if_late(request);
    check_missing_updates(request);
  }
  keys_.drop_idle();
}

void Router::Impl::check_missing_updates(Request& request) {
  if (!monitor_.is_monitored(request)) return;
  Attempt& attempt = request.attempts.back();
  const bool silent = monitor_.is_silent(attempt);
  const bool overdue = monitor_.is_overdue(request, attempt);
  if (silent) {
    lifecycle_.presume_lost(request, attempt);
    monitor_.record_loss(true);
  }
  if (silent || overdue) cancel_for_retry(request, request.attempts.size() - 1);
}

}  // namespace rookproxy::routing
