#include "core/dispatcher.h"

#include "core/rules.h"
#include "decide/drains.h"
#include "net/clock.h"

#include <algorithm>
#include <utility>

namespace rookproxy {
namespace {

using lemonshift::EngineState;

// A module that went on acting on what its own actions caused would hold the turn up for ever.
constexpr int kMostRounds = 16;

bool never_ran(Outcome outcome) {
  return outcome == Outcome::kTurnedAway || outcome == Outcome::kNoConnection || outcome == Outcome::kNotSent;
}

std::optional<std::uint32_t> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - names.begin());
}

}  // namespace

Dispatcher::Dispatcher(Loop& loop, Log& log, Figures& figures, const lemonshift::Settings& settings,
                       std::vector<std::string> zones, CoreLimits limits)
    : loop_(loop),
      log_(log),
      figures_(figures),
      zones_(std::move(zones)),
      limits_(limits),
      router_(settings) {
  bind(settings);
}

std::optional<lemonshift::ClassIndex> Dispatcher::class_named(std::string_view name) const {
  const auto found = class_names_.find(name);
  if (found == class_names_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::uint32_t> Dispatcher::tenant_named(std::string_view name) const {
  const auto found = tenant_names_.find(name);
  if (found == tenant_names_.end()) return std::nullopt;
  return found->second;
}

void Dispatcher::share(std::size_t parts) {
  if (std::exchange(parts_, parts) == parts) return;
  settle();
  bind(binding_);
}

void Dispatcher::change(const lemonshift::Settings& fresh, std::vector<std::string> zones,
                        CoreLimits limits) {
  settle();  // what has come so far goes by the former settings
  zones_ = std::move(zones);
  limits_ = limits;
  loop_.cancel(change_timer_);
  bind(stricter(binding_, fresh));
  changing_ = true;
  change_timer_ = loop_.at(loop_.now() + limits_.change_time, [this, fresh] {
    settle();
    changing_ = false;
    bind(fresh);
    log_.line(Level::kNotice, "core", "the new settings bind alone", {});
  });
}

// A class whose rules are others than before becomes a new one, to which its name leads from now on; requests
// that are open stay with the former, whose place is given to another once nobody uses it.
void Dispatcher::bind(const lemonshift::Settings& fresh) {
  auto table = settings_.classes;
  std::map<std::string, lemonshift::ClassIndex, std::less<>> names;
  std::vector<lemonshift::ClassSettings> added;
  std::vector<bool> kept(table.size(), false);
  for (std::size_t i = 0; i < table.size(); ++i) kept[i] = users_[i] > 0;
  for (auto cls : fresh.classes) {
    cls.max_attempts = fresh.max_attempts;
    const auto known = class_names_.find(cls.name);
    if (known != class_names_.end() && table[known->second] == cls) {
      names[cls.name] = known->second;
      kept[known->second] = true;
    } else {
      added.push_back(std::move(cls));
    }
  }
  for (auto& cls : added) {
    const auto free = std::find(kept.begin(), kept.end(), false);
    const auto at = static_cast<std::size_t>(free - kept.begin());
    names[cls.name] = static_cast<lemonshift::ClassIndex>(at);
    if (free == kept.end()) {
      kept.push_back(true);
      table.push_back(std::move(cls));
    } else {
      *free = true;
      table[at] = std::move(cls);
    }
  }
  while (!kept.empty() && !kept.back()) kept.pop_back(), table.pop_back();
  lemonshift::Settings next = fresh;
  next.classes = table;
  // The rule counts what all send; another process of ours sends as well.
  if (next.cold) next.cold->multiple /= static_cast<double>(parts_);
  router_.change(next);
  binding_ = fresh;
  settings_ = std::move(next);
  class_names_ = std::move(names);
  tenant_names_.clear();
  for (std::uint32_t i = 0; i < settings_.tenants.size(); ++i) {
    if (!settings_.tenants[i].name.empty()) tenant_names_.try_emplace(settings_.tenants[i].name, i);
  }
  users_.resize(settings_.classes.size());
  for (const auto& cls : settings_.classes) figures_.by_class[cls.name];  // shown from the start, as 0
  // Kinds and zones are known by their places in the settings, which may have changed.
  lemonshift::EngineList list;
  for (EngineId id = 0; id < engines_.size(); ++id) {
    if (engines_[id].told.state != EngineState::kGone) list.entries.push_back(entry_of(id));
    // The grace may be a shorter one now.
    const bool closed = engines_[id].told.state != EngineState::kServing;
    if (closed && loop_.now() < drain_limit(engines_[id].closed_at)) watch_drain(id);
  }
  if (!engines_.empty()) push(std::move(list));
}

void Dispatcher::push(lemonshift::Event event) { events_.push_back(std::move(event)); }

RequestKey Dispatcher::accept(const Arrival& arrival, Asker& asker, std::uint64_t ticket) {
  Request request;
  request.arrival = arrival;
  request.arrival.give_up_at -= limits_.answer_margin;
  request.asker = &asker;
  request.ticket = ticket;
  request.bytes = arrival.query->bytes();
  const bool no_room = held_ + request.bytes > limits_.held_bytes / parts_ || unanswered_ >= limits_.max_open;
  held_ += request.bytes;
  ++users_[arrival.cls];
  ++unanswered_;
  const RequestKey key = requests_.insert(std::move(request));
  const Arrival& kept = requests_.find(key)->arrival;
  if (no_room) {
    // Nothing was sent, so the refusal is true. The asker gets it after this call, as any other answer.
    loop_.defer([this, key] {
      finish(key, {Verdict::kRefused, "", short_pause(), Cause::kOverloaded, ""});
      release_if_done(key);
    });
    return key;
  }
  // The last guard: whatever the module does, the client has its answer before it gives up.
  // After a stall its timer and the module's own come up in one turn: the module has its say first.
  requests_.find(key)->guard = loop_.at(kept.give_up_at + limits_.answer_margin / 2, [this, key] {
    settle();
    const Request* open = requests_.find(key);
    if (!open || open->over) return;
    log_.line(Level::kWarning, "core", "deadline passed without a decision", {});
    finish(key, {Verdict::kFailed, "", std::nullopt, Cause::kDeadline, ""});
    push(lemonshift::RequestDropped{key});
  });
  lemonshift::RequestArrived event;
  event.id = key;
  event.cls = kept.cls;
  event.give_up_at = to_module(kept.give_up_at);
  event.group = kept.group;
  if (kept.work) event.work = static_cast<double>(to_module(*kept.work));
  event.memory_mb = kept.memory_mb;
  event.is_repeat = kept.is_repeat;
  event.tenant = tenant_named(kept.tenant);
  push(event);
  return key;
}

void Dispatcher::asker_gone(RequestKey key) {
  Request* request = requests_.find(key);
  if (!request || request->over) return;
  request->asker = nullptr;
  finish(key, {});
  push(lemonshift::RequestDropped{key});
}

void Dispatcher::learn_members(const std::vector<Member>& members, bool remembered,
                               std::optional<Time> told) {
  lemonshift::EngineList list;
  list.kind = remembered ? lemonshift::ListKind::kRemembered : lemonshift::ListKind::kWhole;
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
    const bool was_closed = !fresh && engine.told.state != EngineState::kServing;
    if (member.state != EngineState::kServing && !was_closed) close_engine(id, told.value_or(loop_.now()));
    // A new start at the same address is another process: what was open to the former one is dead.
    const bool moved = fresh || engine.told.address != member.address ||
                       engine.told.started != member.started || engine.told.state == EngineState::kGone;
    engine.told = member;
    if (moved && member.state != EngineState::kGone) links_->engine_at(id, member.address);
    if (member.state == EngineState::kGone) links_->engine_closed(id);
    list.entries.push_back(entry_of(id));
  }
  for (EngineId id = 0; id < engines_.size(); ++id) {
    Engine& engine = engines_[id];
    if (named[id] || engine.told.state == EngineState::kGone) continue;
    if (engine.told.state == EngineState::kServing) close_engine(id, told.value_or(loop_.now()));
    engine.told.state = EngineState::kGone;
    links_->engine_closed(id);
  }
  push(std::move(list));
}

lemonshift::EngineEntry Dispatcher::entry_of(EngineId id) const {
  const Member& member = engines_[id].told;
  lemonshift::EngineEntry entry;
  entry.id = id;
  entry.name = member.id;
  entry.started = member.started ? to_module(*member.started) : 0;
  entry.state = member.state;
  entry.zone = index_of(zones_, member.zone).value_or(UINT32_MAX - 1);
  entry.cell = member.cell;
  entry.weight = member.weight;
  entry.kind = UINT32_MAX - 1;
  for (std::uint32_t kind = 0; kind < settings_.kinds.size(); ++kind) {
    if (settings_.kinds[kind].name == member.kind) entry.kind = kind;
  }
  return entry;
}

void Dispatcher::close_engine(EngineId id, Time told) {
  engines_[id].closed_at = told;
  watch_drain(id);
}

void Dispatcher::watch_drain(EngineId id) {
  const Time since = engines_[id].closed_at;
  // A request that still waits for its connection then must not leave after the grace.
  loop_.at(drain_limit(since), [this, id, since] {
    const Engine& engine = engines_[id];
    if (engine.told.state != EngineState::kServing && engine.closed_at == since) links_->engine_closed(id);
  });
}

Time Dispatcher::drain_limit(Time told) const {
  return decide::last_send(told, span_from_module(settings_.drain_grace), limits_.drain_margin);
}

Dispatcher::Attempt* Dispatcher::attempt(AttemptKey key) {
  Request* request = requests_.find(key.request);
  if (!request || key.number >= request->attempts.size()) return nullptr;
  return &request->attempts[key.number];
}

void Dispatcher::attempt_ended(AttemptKey key, AttemptEnd end) {
  end_attempt(key.request, key.number, std::move(end));
}

void Dispatcher::attempt_noted(AttemptKey key, lemonshift::NoteKind kind, double amount) {
  const Attempt* known = attempt(key);
  if (!known || !known->out) return;
  push(lemonshift::AttemptNote{key.request, key.number, known->engine, kind, amount});
}

void Dispatcher::probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) {
  if (engine >= engines_.size() || !engines_[engine].probe_sent) return;
  const Time sent = *std::exchange(engines_[engine].probe_sent, std::nullopt);
  push(lemonshift::ProbeEnded{engine, outcome, to_module(loop_.now() - sent), report});
}

void Dispatcher::end_attempt(RequestKey key, std::uint32_t number, AttemptEnd end) {
  Request* request = requests_.find(key);
  Attempt* ended = attempt({key, number});
  if (!ended || !ended->out) return;  // a second end of one attempt is dropped here
  loop_.cancel(ended->timer);
  ended->out = false;
  ended->may_have_run = !never_ran(end.outcome);
  --request->out;
  lemonshift::AttemptEnded event;
  event.request = key;
  event.attempt = number;
  event.engine = ended->engine;
  event.outcome = end.outcome;
  event.latency = to_module(loop_.now() - ended->sent);
  event.report = end.report;
  if (end.outcome == Outcome::kError) request->last_error = end.body;
  if (end.outcome == Outcome::kServed && !request->over) {
    finish(key, {Verdict::kServed, std::move(end.body), std::nullopt, Cause::kNone, ""});
  }
  const Request* still = requests_.find(key);  // the asker may have asked for more, and the table have moved
  event.over = !still || still->over;
  push(std::move(event));
}

void Dispatcher::call_off(RequestKey key, std::uint32_t number, Outcome outcome) {
  const Attempt* known = attempt({key, number});
  if (!known || !known->out) return;
  // No byte of it had left: it provably never ran, whatever ended the wait. That is no word against the
  // engine, as 'no connection' would be: the module would take it for unreachable.
  const bool unsent = links_->withdraw({key, number});
  end_attempt(key, number, {unsent ? Outcome::kNotSent : outcome, std::nullopt, ""});
}

// The module hears of its own cancel a tick later, as in the simulator, not in the same instant. Told at
// once, it sent a reader straight back behind the load that it had been taken away from: six attempts in 5
// ms, all of them spent before any other engine could have room.
void Dispatcher::cancel_attempt(RequestKey key, std::uint32_t number) {
  Attempt* known = attempt({key, number});
  if (!known || !known->out) return;
  const bool unsent = links_->withdraw({key, number});
  loop_.cancel(known->timer);
  known->timer = loop_.at(loop_.now() + limits_.tick, [this, key, number, unsent] {
    end_attempt(key, number, {unsent ? Outcome::kNotSent : Outcome::kCancelled, std::nullopt, ""});
  });
}

void Dispatcher::finish(RequestKey key, Answer answer) {
  Request* request = requests_.find(key);
  if (!request || request->over) return;
  request->over = true;
  loop_.cancel(request->guard);
  --unanswered_;
  Asker* asker = std::exchange(request->asker, nullptr);
  const std::uint64_t ticket = request->ticket;
  if (answer.verdict == Verdict::kFailed && answer.cause == Cause::kDecision) {
    if (loop_.now() >= request->arrival.give_up_at) answer.cause = Cause::kDeadline;
    if (!request->last_error.empty()) {
      answer.cause = Cause::kEngineError;
      answer.detail = request->last_error;
    }
  }
  // Nobody is told: it stands under no count.
  if (asker) {
    const Verdict told = asker->on_answer(ticket, std::move(answer));
    if (const Request* still = requests_.find(key)) count(still->arrival.cls, told, still->arrival.tenant);
  }
  // What still waits to begin leaves at once, of any class; what has begun is the module's to call off or
  // not.
  for (std::uint32_t i = 0; attempt({key, i}); ++i) {
    if (attempt({key, i})->out) take_back(key, i);
  }
}

void Dispatcher::turned_away(lemonshift::ClassIndex cls, Verdict verdict, std::string_view tenant) {
  count(cls, verdict, tenant);
}

void Dispatcher::count(lemonshift::ClassIndex cls, Verdict verdict, std::string_view tenant) {
  const auto add = [verdict](ClassFigures& figures) {
    ++(verdict == Verdict::kServed    ? figures.served
       : verdict == Verdict::kRefused ? figures.refused
                                      : figures.failed);
  };
  add(figures_.by_class[rules(cls).name]);
  if (!tenant.empty()) add(figures_.by_tenant[std::string(tenant)][rules(cls).name]);
}

Gauges Dispatcher::gauges() const {
  Gauges gauges;
  gauges.in_progress = unanswered_;
  gauges.engines_listed = static_cast<std::size_t>(std::count_if(
      engines_.begin(), engines_.end(), [](const Engine& e) { return e.told.state != EngineState::kGone; }));
  gauges.engines_avoided = router_.avoided(to_module(loop_.now()));
  return gauges;
}

void Dispatcher::release_if_done(RequestKey key) {
  Request* request = requests_.find(key);
  if (!request || !request->over || request->out > 0) return;
  held_ -= request->bytes;
  --users_[request->arrival.cls];
  requests_.take(key);
}

void Dispatcher::settle() {
  for (int round = 0; !events_.empty() && round < kMostRounds; ++round) {
    std::vector<lemonshift::Event> events;
    events.swap(events_);
    actions_.clear();
    router_.handle(to_module(loop_.now()), events, actions_);
    for (const auto& action : actions_) carry_out(action);
    for (const auto& event : events) {
      if (const auto* ended = std::get_if<lemonshift::AttemptEnded>(&event)) release_if_done(ended->request);
      if (const auto* dropped = std::get_if<lemonshift::RequestDropped>(&event))
        release_if_done(dropped->request);
    }
    for (const auto& action : actions_) {
      if (const auto* refused = std::get_if<lemonshift::Refuse>(&action)) release_if_done(refused->request);
      if (const auto* failed = std::get_if<lemonshift::Fail>(&action)) release_if_done(failed->request);
    }
  }
  if (!events_.empty()) loop_.at(loop_.now(), [] {});  // what is left is taken up in the next turn
}

void Dispatcher::carry_out(const lemonshift::Action& action) {
  if (const auto* order = std::get_if<lemonshift::Send>(&action)) {
    send(*order);
  } else if (const auto* terms = std::get_if<lemonshift::SetTerms>(&action)) {
    Request* request = requests_.find(terms->request);
    if (!request) return;
    request->memory_mb = terms->memory_mb;
    if (request->rank == terms->priority) return;
    request->rank = terms->priority;
    for (std::uint32_t i = 0; i < request->attempts.size(); ++i) {
      if (request->attempts[i].out) links_->set_rank({terms->request, i}, terms->priority);
    }
  } else if (const auto* cancel = std::get_if<lemonshift::Cancel>(&action)) {
    cancel_attempt(cancel->request, cancel->attempt);
  } else if (const auto* refuse = std::get_if<lemonshift::Refuse>(&action)) {
    const Request* request = requests_.find(refuse->request);
    if (!request) return;
    // The rule on refusals, whatever the module says.
    const bool ran = std::any_of(request->attempts.begin(), request->attempts.end(),
                                 [](const Attempt& a) { return a.may_have_run; });
    if (!decide::may_refuse(repeat_rule(*request), ran)) {
      log_.line(Level::kError, "core", "refusal of a request that may have run turned into a failure", {});
      return finish(refuse->request, {Verdict::kFailed, "", std::nullopt, Cause::kDecision, ""});
    }
    // Where clients are not known to heed advice, the module gives none: they are still told, for those that
    // do.
    const auto again = refuse->retry_after ? span_from_module(*refuse->retry_after) : limits_.refusal_pause;
    finish(refuse->request, {Verdict::kRefused, "", again, Cause::kDecision, ""});
  } else if (const auto* fail = std::get_if<lemonshift::Fail>(&action)) {
    finish(fail->request, {Verdict::kFailed, "", std::nullopt, Cause::kDecision, ""});
  } else if (const auto* wake = std::get_if<lemonshift::Wake>(&action)) {
    loop_.at(time_from_module(wake->at),
             [this, token = wake->token] { push(lemonshift::TimerFired{token}); });
  } else if (const auto* probe = std::get_if<lemonshift::Probe>(&action)) {
    if (probe->engine >= engines_.size() || engines_[probe->engine].probe_sent) return;
    engines_[probe->engine].probe_sent = loop_.now();
    links_->probe(probe->engine);
  } else if (const auto* text = std::get_if<lemonshift::Log>(&action)) {
    log_.line(Level::kInfo, "module", text->text, {});
  }
  // FollowList asks for what a directory here always does.
}

decide::RepeatRule Dispatcher::repeat_rule(const Request& request) const {
  using decide::RepeatPlace;
  using lemonshift::Effect;
  using lemonshift::RepeatScope;
  const auto& cls = rules(request.arrival.cls);
  decide::RepeatRule rule;
  rule.second_copies = settings_.second_copies;
  if (cls.effect == Effect::kSafe) {
    rule.place = RepeatPlace::kAnywhere;
  } else if (cls.effect == Effect::kKeyed) {
    const auto scope = cls.repeat_scope.value_or(RepeatScope::kCell);
    rule.place = scope == RepeatScope::kAll    ? RepeatPlace::kAnywhere
                 : scope == RepeatScope::kZone ? RepeatPlace::kZone
                                               : RepeatPlace::kCell;
    rule.window = span_from_module(cls.repeat_window.value_or(0));
  }
  return rule;
}

// Until when work may leave for it.
Time Dispatcher::open_until(const Engine& engine) const {
  if (engine.told.state == EngineState::kServing) return Time::max();
  // Its address may be another's by now.
  return engine.told.state == EngineState::kGone ? Time::min() : drain_limit(engine.closed_at);
}

decide::Sending Dispatcher::sending(const Request& request, EngineId id, std::size_t number) const {
  const Engine& engine = engines_[id];
  decide::Sending sending(repeat_rule(request), {engine.told.zone, engine.told.cell},
                          request.arrival.give_up_at, open_until(engine));
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& other = request.attempts[i];
    if (i != number) sending.beside({other.sent, {other.zone, other.cell}, other.out, other.may_have_run});
  }
  return sending;
}

// Why this send may not go out; nothing if it may. The module keeps these rules itself; this is the net below
// it.
std::string_view Dispatcher::forbidden(const Request* request, const lemonshift::Send& order) const {
  if (!request || request->over) return "request is over";
  if (order.engine >= engines_.size()) return "unknown engine";
  if (request->attempts.size() >= rules(request->arrival.cls).max_attempts) return "too many attempts";
  return sending(*request, order.engine, request->attempts.size()).held_back(loop_.now());
}

// By the clock itself: the turn may have begun long ago, and timers that would have taken it back are run at
// its end.
bool Dispatcher::may_begin(AttemptKey key) {
  const Attempt* known = attempt(key);
  if (!known || !known->out) return false;
  const Request& request = *requests_.find(key.request);
  const auto reason = request.over ? std::string_view("request is over")
                                   : sending(request, known->engine, key.number).held_back(wall_now());
  if (reason.empty()) return true;
  log_.line(Level::kInfo, "core", "attempt not begun: " + std::string(reason),
            {{"engine", engines_[known->engine].told.id}});
  return false;
}

// It ends, as never run, if no byte of it has left.
bool Dispatcher::take_back(RequestKey key, std::uint32_t number) {
  if (!links_->take_back({key, number})) return false;
  end_attempt(key, number, {Outcome::kNotSent, std::nullopt, ""});
  return true;
}

void Dispatcher::send(const lemonshift::Send& order) {
  Request* request = requests_.find(order.request);
  const auto reason = forbidden(request, order);
  if (!reason.empty()) {
    log_.line(Level::kWarning, "core", "send held back: " + std::string(reason), {});
    if (!request) return;
  }
  const auto number = static_cast<std::uint32_t>(request->attempts.size());
  Attempt fresh;
  fresh.engine = order.engine;
  fresh.sent = loop_.now();
  if (order.engine < engines_.size()) {
    fresh.zone = engines_[order.engine].told.zone;
    fresh.cell = engines_[order.engine].told.cell;
  }
  request->attempts.push_back(std::move(fresh));
  ++request->out;
  const AttemptKey key{order.request, number};
  if (!reason.empty()) return end_attempt(key.request, number, {Outcome::kNotSent, std::nullopt, ""});
  Time until = request->arrival.give_up_at;
  if (order.timeout) until = std::min(until, loop_.now() + span_from_module(*order.timeout));
  const auto call_off_at = [this, key](Time at) {
    return loop_.at(at, [this, key] { call_off(key.request, key.number, Outcome::kNoAnswer); });
  };
  const Time begin_by = sending(*request, order.engine, number).begin_by();
  TimerKey& timer = request->attempts.back().timer;
  if (begin_by < until) {
    timer = loop_.at(begin_by, [this, key, until, call_off_at] {
      if (!take_back(key.request, key.number)) attempt(key)->timer = call_off_at(until);
    });
  } else {
    timer = call_off_at(until);
  }
  links_->send({key, order.engine, request->arrival.query, until, request->memory_mb, request->rank});
}

}  // namespace rookproxy
