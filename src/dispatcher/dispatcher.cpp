#include "dispatcher/dispatcher.h"

#include "dispatcher/rules.h"
#include "net/clock.h"
#include "policy/drain.h"

#include <algorithm>
#include <utility>

namespace rookproxy {
namespace {

using routing::EngineState;

// A module that went on acting on what its own actions caused would hold the turn up for ever.
constexpr int kMaxRoundsPerIteration = 16;

bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

std::optional<std::uint32_t> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - names.begin());
}

}  // namespace

Dispatcher::Dispatcher(EventLoop& loop, Logger& log, Metrics& figures, const routing::Settings& settings,
                       std::vector<std::string> zones, DispatcherLimits limits)
    : loop_(loop),
      log_(log),
      metrics_(figures),
      zones_(std::move(zones)),
      limits_(limits),
      router_(settings) {
  apply_settings(settings);
}

std::optional<routing::ClassIndex> Dispatcher::find_class(std::string_view name) const {
  const auto found = class_index_by_name_.find(name);
  if (found == class_index_by_name_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::uint32_t> Dispatcher::find_tenant(std::string_view name) const {
  const auto found = tenant_index_by_name_.find(name);
  if (found == tenant_index_by_name_.end()) return std::nullopt;
  return found->second;
}

void Dispatcher::set_process_count(std::size_t parts) {
  if (std::exchange(process_count_, parts) == parts) return;
  process_events();
  apply_settings(configured_settings_);
}

void Dispatcher::change_settings(const routing::Settings& fresh, std::vector<std::string> zones,
                                 DispatcherLimits limits) {
  process_events();  // what has come so far goes by the former settings
  zones_ = std::move(zones);
  limits_ = limits;
  loop_.cancel(settings_transition_timer_);
  apply_settings(merge_stricter(configured_settings_, fresh));
  in_settings_transition_ = true;
  settings_transition_timer_ = loop_.run_at(loop_.now() + limits_.settings_transition_time, [this, fresh] {
    process_events();
    in_settings_transition_ = false;
    apply_settings(fresh);
    log_.write(LogLevel::kNotice, "core", "the new settings bind alone", {});
  });
}

// A class whose rules are others than before becomes a new one, to which its name leads from now on; requests
// that are open stay with the former, whose place is given to another once nobody uses it.
void Dispatcher::apply_settings(const routing::Settings& fresh) {
  auto table = active_settings_.classes;
  std::map<std::string, routing::ClassIndex, std::less<>> names;
  std::vector<routing::ClassSettings> added;
  std::vector<bool> kept(table.size(), false);
  for (std::size_t i = 0; i < table.size(); ++i) kept[i] = requests_by_class_[i] > 0;
  for (auto cls : fresh.classes) {
    cls.max_attempts = fresh.max_attempts;
    const auto known = class_index_by_name_.find(cls.name);
    if (known != class_index_by_name_.end() && table[known->second] == cls) {
      names[cls.name] = known->second;
      kept[known->second] = true;
    } else {
      added.push_back(std::move(cls));
    }
  }
  for (auto& cls : added) {
    const auto free = std::find(kept.begin(), kept.end(), false);
    const auto at = static_cast<std::size_t>(free - kept.begin());
    names[cls.name] = static_cast<routing::ClassIndex>(at);
    if (free == kept.end()) {
      kept.push_back(true);
      table.push_back(std::move(cls));
    } else {
      *free = true;
      table[at] = std::move(cls);
    }
  }
  while (!kept.empty() && !kept.back()) kept.pop_back(), table.pop_back();
  routing::Settings next = fresh;
  next.classes = table;
  // The rule counts what all send; another process of ours sends as well.
  if (next.slow_start) next.slow_start->overload_factor /= static_cast<double>(process_count_);
  router_.update_settings(next);
  configured_settings_ = fresh;
  active_settings_ = std::move(next);
  class_index_by_name_ = std::move(names);
  tenant_index_by_name_.clear();
  for (std::uint32_t i = 0; i < active_settings_.tenants.size(); ++i) {
    if (!active_settings_.tenants[i].name.empty())
      tenant_index_by_name_.try_emplace(active_settings_.tenants[i].name, i);
  }
  requests_by_class_.resize(active_settings_.classes.size());
  for (const auto& cls : active_settings_.classes) metrics_.by_class[cls.name];  // shown from the start, as 0
  // Kinds and zones are known by their places in the settings, which may have changed.
  routing::EngineList list;
  for (EngineId id = 0; id < engines_.size(); ++id) {
    if (engines_[id].endpoint.state != EngineState::kRemoved) list.entries.push_back(engine_entry(id));
    // The grace may be a shorter one now.
    const bool closed = engines_[id].endpoint.state != EngineState::kServing;
    if (closed && loop_.now() < latest_drain_start(engines_[id].closing_since)) schedule_drain_end(id);
  }
  if (!engines_.empty()) queue_event(std::move(list));
}

void Dispatcher::queue_event(routing::Event event) { events_.push_back(std::move(event)); }

RequestKey Dispatcher::submit(const IncomingRequest& arrival, ResponseHandler& asker, std::uint64_t ticket) {
  Request request;
  request.incoming = arrival;
  request.incoming.deadline -= limits_.response_margin;
  request.handler = &asker;
  request.ticket = ticket;
  request.buffered_bytes = arrival.query->bytes();
  const bool no_room =
      buffered_bytes_ + request.buffered_bytes > limits_.max_buffered_bytes / process_count_ ||
      unanswered_requests_ >= limits_.max_unanswered_requests;
  buffered_bytes_ += request.buffered_bytes;
  ++requests_by_class_[arrival.class_index];
  ++unanswered_requests_;
  const RequestKey key = requests_.insert(std::move(request));
  const IncomingRequest& kept = requests_.find(key)->incoming;
  if (no_room) {
    // Nothing was sent, so the refusal is true. The asker gets it after this call, as any other answer.
    loop_.defer([this, key] {
      finish(key, {ResponseStatus::kRejected, "", overload_retry_after(), ResponseCause::kOverloaded, ""});
      release_if_done(key);
    });
    return key;
  }
  // The last guard: whatever the module does, the client has its answer before it gives up.
  // After a stall its timer and the module's own come up in one turn: the module has its say first.
  requests_.find(key)->deadline_timer =
      loop_.run_at(kept.deadline + limits_.response_margin / 2, [this, key] {
        process_events();
        const Request* open = requests_.find(key);
        if (!open || open->is_completed) return;
        log_.write(LogLevel::kWarning, "core", "deadline passed without a decision", {});
        finish(key, {ResponseStatus::kFailed, "", std::nullopt, ResponseCause::kDeadline, ""});
        queue_event(routing::ClientDisconnected{key});
      });
  routing::RequestArrived event;
  event.id = key;
  event.class_index = kept.class_index;
  event.deadline = to_routing_time(kept.deadline);
  event.group = kept.table_group;
  if (kept.estimated_work) event.work = static_cast<double>(to_routing_duration(*kept.estimated_work));
  event.memory_mb = kept.estimated_memory_mb;
  event.is_client_retry = kept.is_client_retry;
  event.tenant = find_tenant(kept.tenant);
  queue_event(event);
  return key;
}

void Dispatcher::cancel_request(RequestKey key) {
  Request* request = requests_.find(key);
  if (!request || request->is_completed) return;
  request->handler = nullptr;
  finish(key, {});
  queue_event(routing::ClientDisconnected{key});
}

void Dispatcher::update_endpoints(const std::vector<EngineEndpoint>& members, bool remembered,
                                  std::optional<Time> told) {
  routing::EngineList list;
  list.kind = remembered ? routing::EngineListKind::kCached : routing::EngineListKind::kSnapshot;
  std::vector<bool> named(engines_.size(), false);
  for (const auto& member : members) {
    const auto [at, fresh] = engine_ids_.try_emplace(member.id, static_cast<EngineId>(engines_.size()));
    const EngineId id = at->second;
    if (fresh) {
      engines_.emplace_back();
      named.push_back(false);
    }
    Engine& engine = engines_[id];
    named[id] = true;
    // Told that it drains or is gone: the grace counts from the first such word, not from the latest.
    const bool was_closed = !fresh && engine.endpoint.state != EngineState::kServing;
    if (member.state != EngineState::kServing && !was_closed) start_drain(id, told.value_or(loop_.now()));
    // A new start at the same address is another process: what was open to the former one is dead.
    const bool moved = fresh || engine.endpoint.address != member.address ||
                       engine.endpoint.started_at != member.started_at ||
                       engine.endpoint.state == EngineState::kRemoved;
    engine.endpoint = member;
    if (moved && member.state != EngineState::kRemoved) transport_->set_engine_address(id, member.address);
    if (member.state == EngineState::kRemoved) transport_->stop_new_attempts(id);
    list.entries.push_back(engine_entry(id));
  }
  for (EngineId id = 0; id < engines_.size(); ++id) {
    Engine& engine = engines_[id];
    if (named[id] || engine.endpoint.state == EngineState::kRemoved) continue;
    if (engine.endpoint.state == EngineState::kServing) start_drain(id, told.value_or(loop_.now()));
    engine.endpoint.state = EngineState::kRemoved;
    transport_->stop_new_attempts(id);
  }
  queue_event(std::move(list));
}

routing::EngineEntry Dispatcher::engine_entry(EngineId id) const {
  const EngineEndpoint& member = engines_[id].endpoint;
  routing::EngineEntry entry;
  entry.id = id;
  entry.name = member.id;
  entry.started_at = member.started_at ? to_routing_time(*member.started_at) : 0;
  entry.state = member.state;
  entry.zone = index_of(zones_, member.zone).value_or(UINT32_MAX - 1);
  entry.cell = member.cell;
  entry.weight = member.weight;
  entry.machine_type = UINT32_MAX - 1;
  for (std::uint32_t kind = 0; kind < active_settings_.machine_types.size(); ++kind) {
    if (active_settings_.machine_types[kind].name == member.machine_type) entry.machine_type = kind;
  }
  return entry;
}

void Dispatcher::start_drain(EngineId id, Time told) {
  engines_[id].closing_since = told;
  schedule_drain_end(id);
}

void Dispatcher::schedule_drain_end(EngineId id) {
  const Time since = engines_[id].closing_since;
  // A request that still waits for its connection then must not leave after the grace.
  loop_.run_at(latest_drain_start(since), [this, id, since] {
    const Engine& engine = engines_[id];
    if (engine.endpoint.state != EngineState::kServing && engine.closing_since == since)
      transport_->stop_new_attempts(id);
  });
}

Time Dispatcher::latest_drain_start(Time told) const {
  return policy::latest_drain_start(told, from_routing_duration(active_settings_.drain_grace_period),
                                    limits_.drain_margin);
}

Dispatcher::Attempt* Dispatcher::find_attempt(AttemptKey key) {
  Request* request = requests_.find(key.request);
  if (!request || key.number >= request->attempts.size()) return nullptr;
  return &request->attempts[key.number];
}

void Dispatcher::on_attempt_ended(AttemptKey key, AttemptResult end) {
  end_attempt(key.request, key.number, std::move(end));
}

void Dispatcher::on_attempt_note(AttemptKey key, routing::AttemptUpdateKind kind, double amount) {
  const Attempt* known = find_attempt(key);
  if (!known || !known->in_flight) return;
  queue_event(routing::AttemptUpdate{key.request, key.number, known->engine, kind, amount});
}

void Dispatcher::on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) {
  if (engine >= engines_.size() || !engines_[engine].probe_sent) return;
  const Time sent = *std::exchange(engines_[engine].probe_sent, std::nullopt);
  queue_event(routing::ProbeEnded{engine, outcome, to_routing_duration(loop_.now() - sent), report});
}

void Dispatcher::end_attempt(RequestKey key, std::uint32_t number, AttemptResult end) {
  Request* request = requests_.find(key);
  Attempt* ended = find_attempt({key, number});
  if (!ended || !ended->in_flight) return;  // a second end of one attempt is dropped here
  loop_.cancel(ended->timer);
  ended->in_flight = false;
  ended->may_have_run = !never_ran(end.outcome);
  --request->attempts_in_flight;
  routing::AttemptEnded event;
  event.request = key;
  event.attempt = number;
  event.engine = ended->engine;
  event.outcome = end.outcome;
  event.latency = to_routing_duration(loop_.now() - ended->sent_at);
  event.report = end.report;
  if (end.outcome == Outcome::kError) request->last_error = end.body;
  if (end.outcome == Outcome::kServed && !request->is_completed) {
    finish(key, {ResponseStatus::kServed, std::move(end.body), std::nullopt, ResponseCause::kNone, ""});
  }
  const Request* still = requests_.find(key);  // the asker may have asked for more, and the table have moved
  event.completed = !still || still->is_completed;
  queue_event(std::move(event));
}

void Dispatcher::time_out_attempt(RequestKey key, std::uint32_t number, Outcome outcome) {
  const Attempt* known = find_attempt({key, number});
  if (!known || !known->in_flight) return;
  // No byte of it had left: it provably never ran, whatever ended the wait. That is no word against the
  // engine, as 'no connection' would be: the module would take it for unreachable.
  const bool unsent = transport_->cancel({key, number});
  end_attempt(key, number, {unsent ? Outcome::kNotSent : outcome, std::nullopt, ""});
}

// The module hears of its own cancel a tick later, as in the simulator, not in the same instant. Told at
// once, it sent a reader straight back behind the load that it had been taken away from: six attempts in 5
// ms, all of them spent before any other engine could have room.
void Dispatcher::cancel_attempt(RequestKey key, std::uint32_t number) {
  Attempt* known = find_attempt({key, number});
  if (!known || !known->in_flight) return;
  const bool unsent = transport_->cancel({key, number});
  loop_.cancel(known->timer);
  known->timer = loop_.run_at(loop_.now() + limits_.cancel_report_delay, [this, key, number, unsent] {
    end_attempt(key, number, {unsent ? Outcome::kNotSent : Outcome::kCancelled, std::nullopt, ""});
  });
}

void Dispatcher::finish(RequestKey key, Response answer) {
  Request* request = requests_.find(key);
  if (!request || request->is_completed) return;
  request->is_completed = true;
  loop_.cancel(request->deadline_timer);
  --unanswered_requests_;
  ResponseHandler* asker = std::exchange(request->handler, nullptr);
  const std::uint64_t ticket = request->ticket;
  if (answer.status == ResponseStatus::kFailed && answer.cause == ResponseCause::kDecision) {
    if (loop_.now() >= request->incoming.deadline) answer.cause = ResponseCause::kDeadline;
    if (!request->last_error.empty()) {
      answer.cause = ResponseCause::kEngineError;
      answer.detail = request->last_error;
    }
  }
  // Nobody is told: it stands under no count.
  if (asker) {
    const ResponseStatus told = asker->on_response(ticket, std::move(answer));
    if (const Request* still = requests_.find(key))
      record_response(still->incoming.class_index, told, still->incoming.tenant);
  }
  // What still waits to begin leaves at once, of any class; what has begun is the module's to call off or
  // not.
  for (std::uint32_t i = 0; find_attempt({key, i}); ++i) {
    if (find_attempt({key, i})->in_flight) cancel_unsent_attempt(key, i);
  }
}

void Dispatcher::record_rejection(routing::ClassIndex cls, ResponseStatus verdict, std::string_view tenant) {
  record_response(cls, verdict, tenant);
}

void Dispatcher::record_response(routing::ClassIndex cls, ResponseStatus verdict, std::string_view tenant) {
  const auto add = [verdict](ClassMetrics& figures) {
    ++(verdict == ResponseStatus::kServed     ? figures.served
       : verdict == ResponseStatus::kRejected ? figures.rejected
                                              : figures.failed);
  };
  add(metrics_.by_class[class_settings(cls).name]);
  if (!tenant.empty()) add(metrics_.by_tenant[std::string(tenant)][class_settings(cls).name]);
}

Gauges Dispatcher::gauges() const {
  Gauges gauges;
  gauges.requests_in_progress = unanswered_requests_;
  gauges.engines_listed =
      static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [](const Engine& e) {
        return e.endpoint.state != EngineState::kRemoved;
      }));
  gauges.engines_avoided = router_.avoided_engines(to_routing_time(loop_.now()));
  return gauges;
}

void Dispatcher::release_if_done(RequestKey key) {
  Request* request = requests_.find(key);
  if (!request || !request->is_completed || request->attempts_in_flight > 0) return;
  buffered_bytes_ -= request->buffered_bytes;
  --requests_by_class_[request->incoming.class_index];
  requests_.take(key);
}

void Dispatcher::process_events() {
  for (int round = 0; !events_.empty() && round < kMaxRoundsPerIteration; ++round) {
    std::vector<routing::Event> events;
    events.swap(events_);
    actions_.clear();
    router_.handle(to_routing_time(loop_.now()), events, actions_);
    for (const auto& action : actions_) execute(action);
    for (const auto& event : events) {
      if (const auto* ended = std::get_if<routing::AttemptEnded>(&event)) release_if_done(ended->request);
      if (const auto* dropped = std::get_if<routing::ClientDisconnected>(&event))
        release_if_done(dropped->request);
    }
    for (const auto& action : actions_) {
      if (const auto* refused = std::get_if<routing::Reject>(&action)) release_if_done(refused->request);
      if (const auto* failed = std::get_if<routing::Fail>(&action)) release_if_done(failed->request);
    }
  }
  if (!events_.empty()) loop_.run_at(loop_.now(), [] {});  // what is left is taken up in the next turn
}

void Dispatcher::execute(const routing::Action& action) {
  if (const auto* order = std::get_if<routing::Send>(&action)) {
    start_attempt(*order);
  } else if (const auto* terms = std::get_if<routing::SetExecutionOptions>(&action)) {
    Request* request = requests_.find(terms->request);
    if (!request) return;
    request->memory_grant_mb = terms->memory_mb;
    if (request->priority == terms->priority) return;
    request->priority = terms->priority;
    for (std::uint32_t i = 0; i < request->attempts.size(); ++i) {
      if (request->attempts[i].in_flight) transport_->set_priority({terms->request, i}, terms->priority);
    }
  } else if (const auto* cancel = std::get_if<routing::Cancel>(&action)) {
    cancel_attempt(cancel->request, cancel->attempt);
  } else if (const auto* refuse = std::get_if<routing::Reject>(&action)) {
    const Request* request = requests_.find(refuse->request);
    if (!request) return;
    // The rule on refusals, whatever the module says.
    const bool ran = std::any_of(request->attempts.begin(), request->attempts.end(),
                                 [](const Attempt& a) { return a.may_have_run; });
    if (!policy::may_reject(retry_rule(*request), ran)) {
      log_.write(LogLevel::kError, "core", "refusal of a request that may have run turned into a failure",
                 {});
      return finish(refuse->request,
                    {ResponseStatus::kFailed, "", std::nullopt, ResponseCause::kDecision, ""});
    }
    // Where clients are not known to heed advice, the module gives none: they are still told, for those that
    // do.
    const auto again =
        refuse->retry_after ? from_routing_duration(*refuse->retry_after) : limits_.default_retry_after;
    finish(refuse->request, {ResponseStatus::kRejected, "", again, ResponseCause::kDecision, ""});
  } else if (const auto* fail = std::get_if<routing::Fail>(&action)) {
    finish(fail->request, {ResponseStatus::kFailed, "", std::nullopt, ResponseCause::kDecision, ""});
  } else if (const auto* wake = std::get_if<routing::SetTimer>(&action)) {
    loop_.run_at(from_routing_time(wake->at),
                 [this, token = wake->token] { queue_event(routing::TimerFired{token}); });
  } else if (const auto* probe = std::get_if<routing::Probe>(&action)) {
    if (probe->engine >= engines_.size() || engines_[probe->engine].probe_sent) return;
    engines_[probe->engine].probe_sent = loop_.now();
    transport_->probe(probe->engine);
  } else if (const auto* text = std::get_if<routing::Log>(&action)) {
    log_.write(LogLevel::kInfo, "module", text->text, {});
  }
  // FollowList asks for what a directory here always does.
}

policy::RetryRule Dispatcher::retry_rule(const Request& request) const {
  using policy::RetryScope;
  using routing::Idempotency;
  using routing::IdempotencyScope;
  const auto& cls = class_settings(request.incoming.class_index);
  policy::RetryRule rule;
  rule.hedging_allowed = active_settings_.hedging;
  if (cls.idempotency == Idempotency::kIdempotent) {
    rule.scope = RetryScope::kAnywhere;
  } else if (cls.idempotency == Idempotency::kKeyed) {
    const auto scope = cls.idempotency_scope.value_or(IdempotencyScope::kCell);
    rule.scope = scope == IdempotencyScope::kAll    ? RetryScope::kAnywhere
                 : scope == IdempotencyScope::kZone ? RetryScope::kZone
                                                    : RetryScope::kCell;
    rule.idempotency_window = from_routing_duration(cls.idempotency_window.value_or(0));
  }
  return rule;
}

// Until when work may leave for it.
Time Dispatcher::accepts_work_until(const Engine& engine) const {
  if (engine.endpoint.state == EngineState::kServing) return Time::max();
  // Its address may be another's by now.
  return engine.endpoint.state == EngineState::kRemoved ? Time::min()
                                                        : latest_drain_start(engine.closing_since);
}

policy::AttemptGuard Dispatcher::attempt_guard(const Request& request, EngineId id,
                                               std::size_t number) const {
  const Engine& engine = engines_[id];
  policy::AttemptGuard sending(retry_rule(request), {engine.endpoint.zone, engine.endpoint.cell},
                               request.incoming.deadline, accepts_work_until(engine));
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& other = request.attempts[i];
    if (i != number)
      sending.add_other_attempt(
          {other.sent_at, {other.zone_name, other.cell}, other.in_flight, other.may_have_run});
  }
  return sending;
}

// Why this send may not go out; nothing if it may. The module keeps these rules itself; this is the net below
// it.
std::optional<policy::BlockReason> Dispatcher::attempt_violation(const Request* request,
                                                                 const routing::Send& order) const {
  using policy::BlockReason;
  if (!request || request->is_completed) return BlockReason::kRequestCompleted;
  if (order.engine >= engines_.size()) return BlockReason::kUnknownEngine;
  if (request->attempts.size() >= class_settings(request->incoming.class_index).max_attempts) {
    return BlockReason::kTooManyAttempts;
  }
  return attempt_guard(*request, order.engine, request->attempts.size()).blocked_reason(loop_.now());
}

// By the clock itself: the turn may have begun long ago, and timers that would have taken it back are run at
// its end.
bool Dispatcher::may_start(AttemptKey key) {
  const Attempt* known = find_attempt(key);
  if (!known || !known->in_flight) return false;
  const Request& request = *requests_.find(key.request);
  const std::optional<policy::BlockReason> reason =
      request.is_completed
          ? policy::BlockReason::kRequestCompleted
          : attempt_guard(request, known->engine, key.number).blocked_reason(monotonic_now());
  if (!reason) return true;
  log_.write(LogLevel::kInfo, "core", "attempt not begun: " + std::string(to_text(*reason)),
             {{"engine", engines_[known->engine].endpoint.id}});
  return false;
}

// It ends, as never run, if no byte of it has left.
bool Dispatcher::cancel_unsent_attempt(RequestKey key, std::uint32_t number) {
  if (!transport_->cancel_if_unsent({key, number})) return false;
  end_attempt(key, number, {Outcome::kNotSent, std::nullopt, ""});
  return true;
}

void Dispatcher::start_attempt(const routing::Send& order) {
  Request* request = requests_.find(order.request);
  const auto reason = attempt_violation(request, order);
  if (reason) {
    log_.write(LogLevel::kWarning, "core", "send held back: " + std::string(to_text(*reason)), {});
    if (!request) return;
  }
  const auto number = static_cast<std::uint32_t>(request->attempts.size());
  Attempt fresh;
  fresh.engine = order.engine;
  fresh.sent_at = loop_.now();
  if (order.engine < engines_.size()) {
    fresh.zone_name = engines_[order.engine].endpoint.zone;
    fresh.cell = engines_[order.engine].endpoint.cell;
  }
  request->attempts.push_back(std::move(fresh));
  ++request->attempts_in_flight;
  const AttemptKey key{order.request, number};
  if (reason) return end_attempt(key.request, number, {Outcome::kNotSent, std::nullopt, ""});
  Time until = request->incoming.deadline;
  if (order.timeout) until = std::min(until, loop_.now() + from_routing_duration(*order.timeout));
  const auto call_off_at = [this, key](Time at) {
    return loop_.run_at(at, [this, key] { time_out_attempt(key.request, key.number, Outcome::kNoResponse); });
  };
  const Time begin_by = attempt_guard(*request, order.engine, number).latest_start();
  TimerId& timer = request->attempts.back().timer;
  if (begin_by < until) {
    timer = loop_.run_at(begin_by, [this, key, until, call_off_at] {
      if (!cancel_unsent_attempt(key.request, key.number)) find_attempt(key)->timer = call_off_at(until);
    });
  } else {
    timer = call_off_at(until);
  }
  transport_->send(
      {key, order.engine, request->incoming.query, until, request->memory_grant_mb, request->priority});
}

}  // namespace rookproxy
