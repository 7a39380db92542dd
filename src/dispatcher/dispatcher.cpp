#include "dispatcher/dispatcher.h"

#include <utility>
#include <variant>

#include "dispatcher/routing_time.h"
#include "dispatcher/stricter_settings.h"
#include "net/clock.h"
#include "net/event_loop.h"

namespace rookproxy {
namespace {

// The message ids of log lines.
constexpr std::string_view kLogId = "dispatcher";
constexpr std::string_view kRouterLogId = "routing";

// Bounds the rounds in which the router reacts to events that result from its own actions, so that the event
// loop is not blocked.
constexpr int kMaxRoundsPerIteration = 16;

}  // namespace

Dispatcher::Dispatcher(EventLoop& loop, Logger& log, Metrics& metrics, const routing::Settings& settings,
                       std::vector<std::string> zones, DispatcherLimits limits,
                       std::shared_ptr<policy::MemoryLedger> memory)
    : loop_(loop),
      log_(log),
      metrics_(metrics),
      limits_(limits),
      memory_(std::move(memory)),
      router_(settings),
      request_log_(log) {
  engines_.set_zones(std::move(zones));
  apply_settings(settings);
}

// ---- settings

void Dispatcher::set_process_count(std::size_t count) {
  if (std::exchange(process_count_, count) == count) return;
  process_events();
  apply_settings(settings_.configured());
}

void Dispatcher::change_settings(const routing::Settings& settings, std::vector<std::string> zones,
                                 DispatcherLimits limits) {
  process_events();  // Events before the change are handled under the previous settings.
  engines_.set_zones(std::move(zones));
  limits_ = limits;
  loop_.cancel(settings_transition_timer_);
  apply_settings(merge_stricter(settings_.configured(), settings));
  in_settings_transition_ = true;
  settings_transition_timer_ = loop_.run_at(loop_.now() + limits_.settings_transition_time, [this, settings] {
    process_events();
    in_settings_transition_ = false;
    apply_settings(settings);
    log_.write(LogLevel::kNotice, kLogId, "settings transition ended; only the new settings apply", {});
  });
}

void Dispatcher::apply_settings(const routing::Settings& settings) {
  ActiveSettings::Prepared prepared = settings_.prepare(settings, process_count_);
  router_.update_settings(prepared.active);  // If this throws, nothing has been changed yet.
  settings_.activate(std::move(prepared));
  // Creates the metrics of each class, so that they are shown as 0 before the first request.
  for (const auto& cls : settings_.active().classes) metrics_.by_class[cls.name];
  routing::EngineList list = engines_.update_for_settings();
  if (!engines_.empty()) queue_event(std::move(list));
}

// ---- frontends

RequestKey Dispatcher::submit(const IncomingRequest& incoming, ResponseHandler& handler,
                              std::uint64_t correlation_id) {
  Request request;
  request.incoming = incoming;
  request.incoming.deadline -= limits_.response_margin;
  request.handler = &handler;
  request.correlation_id = correlation_id;
  const auto refusal = find_refusal(request);
  settings_.add_request(incoming.class_index);
  const RequestKey key = requests_.add(std::move(request));
  if (refusal) {
    respond_without_attempts(key, *refusal);
    return key;
  }
  const IncomingRequest& accepted = requests_.find(key)->incoming;
  schedule_deadline(key, accepted.deadline);
  queue_arrival(key, accepted);
  return key;
}

bool Dispatcher::try_hold(Query& query) const {
  query.memory = policy::MemoryHolding(memory_, policy::MemoryUse::kStatements);
  return query.memory.try_add(query.bytes());
}

// Returns the response if the request must not run. Otherwise its query's memory and its execution are
// registered: a client that left may send the same id again while the first request runs, or after it.
std::optional<Response> Dispatcher::find_refusal(Request& request) {
  Query& query = *request.incoming.query;
  if (!try_hold(query) || requests_.unanswered() >= limits_.max_unanswered_requests) {
    return Response::rejected(overload_retry_after(), ResponseCause::kOverloaded);
  }
  if (!query.execution_id) return std::nullopt;
  switch (executions_.begin(*query.execution_id, loop_.now())) {
    case policy::ExecutionAdmission::kAdmitted:
      request.is_registered = true;
      return std::nullopt;
    case policy::ExecutionAdmission::kMayHaveRun:
      return Response::failed(ResponseCause::kRepeated);
    case policy::ExecutionAdmission::kUnavailable:
      break;
  }
  return Response::rejected(overload_retry_after(), ResponseCause::kOverloaded);
}

// The response is deferred, since handlers get no response within submit().
void Dispatcher::respond_without_attempts(RequestKey key, const Response& response) {
  loop_.defer([this, key, response] {
    finish(key, response);
    release_if_done(key);
  });
}

// Ensures that the client gets a response before its deadline, whatever the router does. After a stall this
// timer and the router's own may be due in the same iteration; the router then decides first.
void Dispatcher::schedule_deadline(RequestKey key, Time deadline) {
  const Time at = deadline + limits_.response_margin / 2;
  requests_.find(key)->deadline_timer = loop_.run_at(at, [this, key] {
    process_events();
    const Request* request = requests_.find(key);
    if (!request || request->is_completed) return;
    log_.write(LogLevel::kWarning, kLogId, "deadline passed without a routing decision; request failed", {});
    finish(key, Response::failed(ResponseCause::kDeadline));
    queue_event(routing::ClientDisconnected{key});
  });
}

void Dispatcher::queue_arrival(RequestKey key, const IncomingRequest& incoming) {
  routing::RequestArrived event;
  event.id = key;
  event.class_index = incoming.class_index;
  event.deadline = to_routing_time(incoming.deadline);
  event.group = incoming.table_group;
  if (incoming.estimated_work) {
    event.work = static_cast<double>(to_routing_duration(*incoming.estimated_work));
  }
  event.memory_mb = incoming.estimated_memory_mb;
  event.is_client_retry = incoming.is_client_retry;
  event.tenant = find_tenant(incoming.tenant);
  queue_event(event);
}

void Dispatcher::cancel_request(RequestKey key) {
  Request* request = requests_.find(key);
  if (!request || request->is_completed) return;
  request_log_.request_cancelled(*request, loop_.now());
  request->handler = nullptr;
  finish(key, {});
  queue_event(routing::ClientDisconnected{key});
}

void Dispatcher::record_rejection(routing::ClassIndex class_index, ResponseStatus status,
                                  std::string_view tenant) {
  record_response(metrics_, class_settings(class_index).name, status, tenant);
}

Gauges Dispatcher::gauges() const {
  Gauges gauges;
  gauges.requests_in_progress = requests_.unanswered();
  gauges.engines_listed = engines_.listed_count();
  gauges.full_input_turns = loop_.full_turns();
  gauges.engines_avoided = router_.avoided_engines(to_routing_time(loop_.now()));
  return gauges;
}

// ---- service discovery

void Dispatcher::update_endpoints(const std::vector<EngineEndpoint>& endpoints, bool is_cached,
                                  std::optional<Time> announced_at) {
  queue_event(engines_.update(endpoints, is_cached, announced_at.value_or(loop_.now())));
}

// ---- connections to engines

// Reads the clock instead of using the loop's time: the iteration may have started long ago, and timers that
// would have cancelled the attempt may be overdue.
bool Dispatcher::may_start(AttemptKey key) {
  const Attempt* attempt = requests_.find_attempt(key);
  if (!attempt || !attempt->in_flight) return false;
  const Request& request = *requests_.find(key.request);
  const Time now = monotonic_now();
  const std::string& engine = engines_.endpoint(attempt->engine).id;
  const auto reason = attempt_rules_.check_start(request, key.number, now);
  if (reason) {
    ++metrics_.attempts_blocked[static_cast<std::size_t>(*reason)];
    request_log_.attempt_blocked(request, engine, *reason, now);
    return false;
  }
  const Time accepts_until = engines_.accepts_attempts_until(attempt->engine);
  if (accepts_until != Time::max()) {
    ++metrics_.attempts_at_draining_engines;
    request_log_.attempt_starts_at_draining_engine(request, key.number, engine, accepts_until - now, now);
  }
  return true;
}

void Dispatcher::on_attempt_ended(AttemptKey key, AttemptResult result) {
  end_attempt(key, std::move(result));
}

void Dispatcher::on_attempt_update(AttemptKey key, routing::AttemptUpdateKind kind, double amount) {
  const Attempt* attempt = requests_.find_attempt(key);
  if (!attempt || !attempt->in_flight) return;
  queue_event(routing::AttemptUpdate{key.request, key.number, attempt->engine, kind, amount});
}

void Dispatcher::on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) {
  const auto latency = engines_.end_probe(engine);
  if (latency) queue_event(routing::ProbeEnded{engine, outcome, to_routing_duration(*latency), report});
}

// ---- events and actions

void Dispatcher::process_events() {
  for (int round = 0; !events_.empty() && round < kMaxRoundsPerIteration; ++round) {
    std::vector<routing::Event> events;
    events.swap(events_);
    actions_.clear();
    router_.handle(to_routing_time(loop_.now()), events, actions_);
    for (const auto& action : actions_) {
      std::visit([this](const auto& typed_action) { execute(typed_action); }, action);
    }
    release_ended(events);
  }
  if (!events_.empty()) loop_.run_at(loop_.now(), [] {});  // Continues in the next iteration.
}

// Releases the requests that these events or the router's actions have ended, now that the router has handled
// them.
void Dispatcher::release_ended(const std::vector<routing::Event>& events) {
  for (const auto& event : events) {
    if (const auto* ended = std::get_if<routing::AttemptEnded>(&event)) release_if_done(ended->request);
    if (const auto* left = std::get_if<routing::ClientDisconnected>(&event)) release_if_done(left->request);
  }
  for (const auto& action : actions_) {
    if (const auto* reject = std::get_if<routing::Reject>(&action)) release_if_done(reject->request);
    if (const auto* fail = std::get_if<routing::Fail>(&action)) release_if_done(fail->request);
  }
}

void Dispatcher::execute(const routing::Send& action) {
  Request* request = requests_.find(action.request);
  const auto reason = attempt_rules_.check_send(request, action.engine, loop_.now());
  if (reason) {
    ++metrics_.attempts_blocked[static_cast<std::size_t>(*reason)];
    log_.write(LogLevel::kWarning, kLogId, "attempt not sent: " + std::string(to_text(*reason)), {});
  }
  if (!request) return;
  // The router counts the attempt, so it is recorded even if it is not sent.
  const AttemptKey key = add_attempt(action, *request);
  if (reason) return end_attempt(key, {Outcome::kNotSent, std::nullopt, ""});
  Time deadline = request->incoming.deadline;
  if (action.timeout) deadline = std::min(deadline, loop_.now() + from_routing_duration(*action.timeout));
  schedule_attempt_end(key, *request, deadline);
  transport_->send(
      {key, action.engine, request->incoming.query, deadline, request->memory_grant_mb, request->priority});
}

void Dispatcher::execute(const routing::SetExecutionOptions& action) {
  Request* request = requests_.find(action.request);
  if (!request) return;
  request->memory_grant_mb = action.memory_mb;
  if (request->priority == action.priority) return;
  request->priority = action.priority;
  for (std::uint32_t i = 0; i < request->attempts.size(); ++i) {
    if (request->attempts[i].in_flight) transport_->set_priority({action.request, i}, action.priority);
  }
}

// Reports the end of the cancelled attempt to the router after a delay. Without it, the router could spend
// all attempts of a request within a few milliseconds, by sending each one to an engine that runs a load and
// cancelling it.
void Dispatcher::execute(const routing::Cancel& action) {
  const AttemptKey key{action.request, action.attempt};
  Attempt* attempt = requests_.find_attempt(key);
  if (!attempt || !attempt->in_flight) return;
  const Outcome outcome = transport_->cancel(key) ? Outcome::kNotSent : Outcome::kCancelled;
  loop_.cancel(attempt->timer);
  attempt->timer = loop_.run_at(loop_.now() + limits_.cancel_report_delay, [this, key, outcome] {
    end_attempt(key, {outcome, std::nullopt, ""});
  });
}

void Dispatcher::execute(const routing::Reject& action) {
  const Request* request = requests_.find(action.request);
  if (!request) return;
  if (!attempt_rules_.may_reject(*request)) {
    log_.write(LogLevel::kError, kLogId,
               "router rejected a request that may have run; sending a failure instead", {});
    return finish(action.request, Response::failed(ResponseCause::kDecision));
  }
  // The router sets no time if clients are not known to honor it. The default is sent for those that do.
  const Duration retry_after =
      action.retry_after ? from_routing_duration(*action.retry_after) : limits_.default_retry_after;
  finish(action.request, Response::rejected(retry_after, ResponseCause::kDecision));
}

void Dispatcher::execute(const routing::Fail& action) {
  finish(action.request, Response::failed(ResponseCause::kDecision));
}

// A request's timer ends with the request, so that none is left behind for a client that cancels many.
void Dispatcher::execute(const routing::SetTimer& action) {
  const auto id = routing::Router::request_of_timer(action.token);
  Request* request = id ? requests_.find(*id) : nullptr;
  if (id && !request) return;
  const TimerId timer = loop_.run_at(from_routing_time(action.at), [this, token = action.token] {
    queue_event(routing::TimerFired{token});
  });
  if (!request) return;
  loop_.cancel(request->routing_timer);
  request->routing_timer = timer;
}

void Dispatcher::execute(const routing::Probe& action) { engines_.start_probe(action.engine); }

// Service discovery always reports changes of the list, so there is nothing to subscribe to.
void Dispatcher::execute(const routing::SubscribeEngineList&) {}

void Dispatcher::execute(const routing::Log& action) {
  log_.write(LogLevel::kInfo, kRouterLogId, action.text, {});
}

// ---- attempts

AttemptKey Dispatcher::add_attempt(const routing::Send& action, Request& request) {
  const auto number = static_cast<std::uint32_t>(request.attempts.size());
  Attempt attempt;
  attempt.engine = action.engine;
  attempt.sent_at = loop_.now();
  if (engines_.contains(action.engine)) {
    attempt.zone_name = engines_.endpoint(action.engine).zone;
    attempt.cell = engines_.endpoint(action.engine).cell;
  }
  request.attempts.push_back(std::move(attempt));
  ++request.attempts_in_flight;
  return {action.request, number};
}

// Schedules the timeout of an attempt. If the attempt must not start from some time before its deadline on,
// it is cancelled at that time if it is unsent.
void Dispatcher::schedule_attempt_end(AttemptKey key, const Request& request, Time deadline) {
  const Time latest_start = attempt_rules_.latest_start(request, key.number);
  TimerId& timer = requests_.find_attempt(key)->timer;
  if (latest_start >= deadline) {
    timer = schedule_attempt_timeout(key, deadline);
    return;
  }
  timer = loop_.run_at(latest_start, [this, key, deadline] {
    if (cancel_unsent_attempt(key)) return;
    requests_.find_attempt(key)->timer = schedule_attempt_timeout(key, deadline);
  });
}

TimerId Dispatcher::schedule_attempt_timeout(AttemptKey key, Time deadline) {
  return loop_.run_at(deadline, [this, key] { time_out_attempt(key); });
}

void Dispatcher::time_out_attempt(AttemptKey key) {
  const Attempt* attempt = requests_.find_attempt(key);
  if (!attempt || !attempt->in_flight) return;
  // An unsent attempt never ran. It is not reported as a failed connection, since the router would treat the
  // engine as unreachable.
  const Outcome outcome = transport_->cancel(key) ? Outcome::kNotSent : Outcome::kNoResponse;
  end_attempt(key, {outcome, std::nullopt, ""});
}

// Cancels the attempt if no byte of it has been sent; it then never ran.
bool Dispatcher::cancel_unsent_attempt(AttemptKey key) {
  if (!transport_->cancel_if_unsent(key)) return false;
  end_attempt(key, {Outcome::kNotSent, std::nullopt, ""});
  return true;
}

void Dispatcher::end_attempt(AttemptKey key, AttemptResult result) {
  Request* request = requests_.find(key.request);
  Attempt* attempt = requests_.find_attempt(key);
  if (!attempt || !attempt->in_flight) return;  // The attempt is unknown or has ended already.
  loop_.cancel(attempt->timer);
  RequestTable::end_attempt(*request, *attempt, result.outcome);
  request_log_.attempt_ended(*request, key.number, engines_.endpoint(attempt->engine).id, result.outcome,
                             loop_.now());
  routing::AttemptEnded event;
  event.request = key.request;
  event.attempt = key.number;
  event.engine = attempt->engine;
  event.outcome = result.outcome;
  event.latency = to_routing_duration(loop_.now() - attempt->sent_at);
  event.report = result.report;
  if (result.outcome == Outcome::kError) request->last_error = result.body;
  if (result.outcome == Outcome::kServed && !request->is_completed) {
    finish(key.request, Response::served(std::move(result.body)));
  }
  // Looked up again: the handler may have submitted further requests, which invalidates pointers.
  const Request* current = requests_.find(key.request);
  event.completed = current == nullptr || current->is_completed;
  queue_event(event);
}

// ---- responses

void Dispatcher::finish(RequestKey key, Response response) {
  Request* request = requests_.find(key);
  if (!request || request->is_completed) return;
  requests_.complete(*request);
  loop_.cancel(request->deadline_timer);
  if (response.status == ResponseStatus::kFailed && response.cause == ResponseCause::kDecision) {
    if (loop_.now() >= request->incoming.deadline) response.cause = ResponseCause::kDeadline;
    if (!request->last_error.empty()) {
      response.cause = ResponseCause::kEngineError;
      response.detail = request->last_error;
    }
  }
  ResponseHandler* handler = std::exchange(request->handler, nullptr);
  if (handler) {
    const std::string& class_name = class_settings(request->incoming.class_index).name;
    request_log_.request_completed(*request, class_name, response, loop_.now());
  }
  // The response to a client that has disconnected is not counted.
  if (handler) respond(key, *handler, request->correlation_id, std::move(response));
  // Unsent attempts are cancelled for all classes. The router decides whether started ones are cancelled.
  for (std::uint32_t number = 0; requests_.find_attempt({key, number}); ++number) {
    if (requests_.find_attempt({key, number})->in_flight) cancel_unsent_attempt({key, number});
  }
}

void Dispatcher::respond(RequestKey key, ResponseHandler& handler, std::uint64_t correlation_id,
                         Response response) {
  const ResponseStatus status = handler.on_response(correlation_id, std::move(response));
  const Request* request = requests_.find(key);
  if (!request) return;
  const std::string& class_name = class_settings(request->incoming.class_index).name;
  record_response(metrics_, class_name, status, request->incoming.tenant);
}

void Dispatcher::release_if_done(RequestKey key) {
  auto released = requests_.release_if_done(key);
  if (!released) return;
  loop_.cancel(released->routing_timer);
  if (!released->is_registered) return;
  executions_.end(*released->incoming.query->execution_id, released->may_have_run(), loop_.now());
  settings_.remove_request(released->incoming.class_index);
}

}  // namespace rookproxy
