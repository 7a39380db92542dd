#include "routing/simulation/simulated_cluster.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace rookproxy::routing::simulation {

namespace {

// A drain counts as known to all dispatchers after this, whether they have had a list or not.
constexpr Time kListDelayAllowance = 7 * kSecond;
constexpr Time kLateListDelay = 6 * kSecond;
constexpr Time kHungProbeTimeout = kSecond / 4;
constexpr Time kFinishTimeout = 30 * kSecond;

// One dispatcher in ten is a busy one: the fourth, the fourteenth ...
constexpr std::uint32_t kBusyDispatcherPeriod = 10;
constexpr std::uint32_t kBusyDispatcher = 3;
constexpr double kOrdinaryDispatchers = 0.9;  // share of all

// Microseconds of one thread.
constexpr double kMinWork = 1000;
constexpr double kEstimateVariation = 0.15;

Outcome probe_outcome(const EngineProcess& process) {
  if (process.exited) return Outcome::kConnectFailed;
  return process.hung ? Outcome::kNoResponse : Outcome::kServed;
}

}  // namespace

SimulatedCluster::SimulatedCluster(Settings settings, std::vector<TrafficClass> traffic, std::uint64_t seed,
                                   std::uint32_t processes_per_dispatcher)
    : settings_(std::move(settings)),
      traffic_(std::move(traffic)),
      random_(seed),
      processes_per_dispatcher_(processes_per_dispatcher) {
  const std::uint32_t count = settings_.instance_count * processes_per_dispatcher_;
  for (std::uint32_t i = 0; i < count; ++i) dispatchers_.emplace_back(settings_of(i), traffic_.size());
}

// ---- engines ----

void SimulatedCluster::stop_process(EngineId id) {
  EngineProcess& stopped = engines_.process(id);
  stopped.exited = true;
  const auto attempts = std::exchange(stopped.attempts, {});
  for (const auto& attempt : attempts) report_outcome(attempt, Outcome::kConnectionLost);
}

// ---- dispatchers ----

Settings SimulatedCluster::settings_of(std::uint32_t dispatcher) const {
  Settings settings = settings_;
  settings.instance_index = dispatcher / processes_per_dispatcher_;
  if (settings.slow_start) settings.slow_start->overload_factor /= processes_per_dispatcher_;
  return settings;
}

void SimulatedCluster::publish_list(Time spread, int late_one_in) {
  ++list_version_;
  for (auto& dispatcher : dispatchers_) {
    const bool late = late_one_in > 0 && random_.unit() * late_one_in < 1;
    const auto longest_delay = static_cast<double>(late ? kLateListDelay : spread);
    const auto delay = static_cast<Time>(random_.unit() * longest_delay);
    schedule(now_ + delay, [this, &dispatcher, version = list_version_, entries = engines_.list()] {
      if (version <= dispatcher.list_version()) return;
      dispatcher.set_list_version(version);
      dispatcher.receive_list(now_, {EngineListKind::kSnapshot, entries});
    });
  }
}

void SimulatedCluster::restart_dispatcher(std::uint32_t dispatcher, Time list_delay, bool has_cached_list) {
  for (auto& process : engines_.processes()) {
    std::erase_if(process.attempts, [&](const RunningAttempt& attempt) {
      return requests_[attempt.request].dispatcher == dispatcher;
    });
  }
  SimulatedDispatcher& restarted = dispatchers_[dispatcher];
  for (const auto request : restarted.open_requests()) requests_[request].orphaned = true;
  restarted.restart(settings_of(dispatcher));
  if (has_cached_list) restarted.receive_list(now_, {EngineListKind::kCached, initial_list_});
  const auto delay = static_cast<Time>(random_.unit() * static_cast<double>(list_delay));
  schedule(now_ + delay, [this, &restarted] {
    restarted.set_list_version(list_version_);
    restarted.receive_list(now_, {EngineListKind::kSnapshot, engines_.list()});
  });
}

// ---- time ----

void SimulatedCluster::schedule(Time when, std::function<void()> task) {
  scheduled_tasks_.emplace(when, std::move(task));
}

void SimulatedCluster::run_until(Time until) {
  if (initial_list_.empty()) {
    initial_list_ = engines_.list();
    for (auto& dispatcher : dispatchers_) {
      dispatcher.receive_list(now_, {EngineListKind::kSnapshot, engines_.list()});
    }
  }
  for (; now_ < until; now_ += kTimeStep) step();
}

void SimulatedCluster::finish_requests() {
  conditions_.traffic_factor = 0;
  const auto has_open_requests = [](const SimulatedDispatcher& dispatcher) {
    return !dispatcher.open_requests().empty();
  };
  const Time end = now_ + kFinishTimeout;
  while (now_ < end && std::any_of(dispatchers_.begin(), dispatchers_.end(), has_open_requests)) {
    run_for(kSecond);
  }
}

void SimulatedCluster::step() {
  run_due_tasks();
  for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) generate_arrivals(i);
  for (auto& process : engines_.processes()) run_process(process);
  for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) {
    for (const auto& action : dispatchers_[i].handle_events(now_)) apply_action(i, action);
  }
}

void SimulatedCluster::run_due_tasks() {
  while (!scheduled_tasks_.empty() && scheduled_tasks_.begin()->first <= now_) {
    const auto task = std::move(scheduled_tasks_.begin()->second);
    scheduled_tasks_.erase(scheduled_tasks_.begin());
    task();
  }
}

// ---- traffic ----

double SimulatedCluster::traffic_share(std::uint32_t dispatcher) const {
  const auto count = static_cast<double>(dispatchers_.size());
  if (conditions_.first_dispatcher_share > 0) {
    if (dispatcher == 0) return conditions_.first_dispatcher_share;
    return (1 - conditions_.first_dispatcher_share) / (count - 1);
  }
  const double busy = conditions_.busy_dispatcher_factor;
  if (dispatcher % kBusyDispatcherPeriod == kBusyDispatcher) return busy / count;
  return (1 - busy / kBusyDispatcherPeriod) / kOrdinaryDispatchers / count;
}

void SimulatedCluster::generate_arrivals(std::uint32_t dispatcher) {
  const double share = traffic_share(dispatcher);
  for (ClassIndex class_index = 0; class_index < traffic_.size(); ++class_index) {
    const double rate = traffic_[class_index].requests_per_second * share * conditions_.traffic_factor;
    if (rate <= 0) continue;
    const double mean_interval = 1e6 / rate;
    Time& next = dispatchers_[dispatcher].next_arrival(class_index);
    if (next < 0) next = now_ + static_cast<Time>(random_.exponential(mean_interval));
    while (next <= now_) {
      next += 1 + static_cast<Time>(random_.exponential(mean_interval));
      create_request(dispatcher, class_index);
    }
  }
}

void SimulatedCluster::create_request(std::uint32_t dispatcher, ClassIndex class_index) {
  const ClassSettings& request_class = settings_.classes[class_index];
  const TrafficClass& traffic = traffic_[class_index];
  const double work =
      std::max(kMinWork, traffic.mean_work * random_.log_normal(traffic.coefficient_of_variation));
  RequestArrived arrived;
  arrived.id = requests_.size() + 1;
  arrived.class_index = class_index;
  arrived.deadline = now_ + request_class.timeout;
  arrived.group = 1 + static_cast<std::uint64_t>(conditions_.table_groups * std::pow(random_.unit(), 2));
  if (traffic.has_estimate) {
    arrived.work = work * conditions_.estimate_factor * random_.log_normal(kEstimateVariation);
  }
  SimulatedRequest request;
  request.dispatcher = dispatcher;
  request.class_index = class_index;
  request.work = work;
  request.arrived_at = now_;
  request.deadline = arrived.deadline;
  request.objective_at =
      now_ + request_class.latency_objective +
      static_cast<Time>(request_class.latency_objective_per_work * work / request_class.threads);
  dispatchers_[dispatcher].open_request(requests_.size());
  requests_.push_back(request);
  dispatchers_[dispatcher].receive(arrived);
}

// ---- attempts on engines ----

double SimulatedCluster::capacity_share(const SlowStart& slow_start, double elapsed_share) const {
  if (conditions_.capacity_grows_at_end) return slow_start.initial_share;
  return slow_start.initial_share + (1 - slow_start.initial_share) * elapsed_share * elapsed_share;
}

double SimulatedCluster::warm_up_share(const EngineProcess& process) const {
  if (!settings_.slow_start || process.started_at == 0) return 1;
  const double elapsed_share = static_cast<double>(now_ - process.started_at) /
                               static_cast<double>(settings_.slow_start->warm_up_period);
  return elapsed_share >= 1 ? 1 : capacity_share(*settings_.slow_start, elapsed_share);
}

int SimulatedCluster::threads_of(const RunningAttempt& attempt) const {
  return settings_.classes[requests_[attempt.request].class_index].threads;
}

double SimulatedCluster::speed_of(const EngineProcess& process) const {
  double demanded_threads = 0;
  for (const auto& attempt : process.attempts) demanded_threads += threads_of(attempt);
  return std::min(1.0, process.cores * warm_up_share(process) / std::max(1.0, demanded_threads));
}

void SimulatedCluster::run_process(EngineProcess& process) {
  const double speed = speed_of(process);
  std::vector<RunningAttempt> over;
  for (auto& attempt : process.attempts) {
    advance_attempt(process, speed, attempt);
    if (is_over(attempt)) over.push_back(attempt);
  }
  std::erase_if(process.attempts, [this](const RunningAttempt& attempt) {
    return is_over(attempt);
  });
  for (const auto& attempt : over) {
    report_outcome(attempt, attempt.remaining_work <= 0 ? Outcome::kServed : Outcome::kNoResponse);
  }
}

void SimulatedCluster::advance_attempt(const EngineProcess& process, double speed, RunningAttempt& attempt) {
  if (process.hung || attempt.lost) return;
  attempt.remaining_work -= speed * threads_of(attempt) * static_cast<double>(kTimeStep);
  if (is_over(attempt) || !settings_.progress_interval || now_ < attempt.next_update_at) return;
  attempt.next_update_at = now_ + *settings_.progress_interval;
  report_progress(attempt);
}

bool SimulatedCluster::is_over(const RunningAttempt& attempt) const {
  return attempt.remaining_work <= 0 || now_ >= requests_[attempt.request].deadline;
}

void SimulatedCluster::report_progress(const RunningAttempt& attempt) {
  const SimulatedRequest& request = requests_[attempt.request];
  AttemptUpdate update;
  update.request = attempt.request + 1;
  update.attempt = attempt.attempt;
  update.engine = attempt.engine;
  update.amount = 1 - attempt.remaining_work / request.work;
  dispatchers_[request.dispatcher].receive(update);
}

void SimulatedCluster::report_outcome(const RunningAttempt& attempt, Outcome outcome) {
  SimulatedRequest& request = requests_[attempt.request];
  if (request.orphaned) return;
  --request.attempts_in_flight;
  request.may_have_run |= outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed;
  if (outcome == Outcome::kServed && request.ended_at < 0) complete_request(attempt.request, true);
  AttemptEnded ended;
  ended.request = attempt.request + 1;
  ended.attempt = attempt.attempt;
  ended.engine = attempt.engine;
  ended.outcome = outcome;
  ended.latency = now_ - attempt.sent_at;
  ended.completed = request.ended_at >= 0;
  dispatchers_[request.dispatcher].receive(ended);
}

void SimulatedCluster::complete_request(std::size_t request, bool succeeded) {
  SimulatedRequest& completed = requests_[request];
  if (completed.ended_at >= 0) ++violations_.duplicate_responses;
  completed.ended_at = now_;
  completed.succeeded = succeeded;
  dispatchers_[completed.dispatcher].close_request(request);
}

// ---- actions ----

void SimulatedCluster::apply_action(std::uint32_t dispatcher, const Action& action) {
  if (const auto* timer = std::get_if<SetTimer>(&action)) {
    dispatchers_[dispatcher].set_timer(*timer);
  } else if (const auto* to_send = std::get_if<Send>(&action)) {
    send(dispatcher, *to_send);
  } else if (const auto* to_cancel = std::get_if<Cancel>(&action)) {
    cancel(*to_cancel);
  } else if (const auto* to_probe = std::get_if<Probe>(&action)) {
    probe(dispatcher, *to_probe);
  } else if (const auto* rejected = std::get_if<Reject>(&action)) {
    complete_request(rejected->request - 1, false);
  } else if (const auto* failed = std::get_if<Fail>(&action)) {
    complete_request(failed->request - 1, false);
  }
}

void SimulatedCluster::send(std::uint32_t dispatcher, const Send& send) {
  check_send(dispatcher, send);
  record_send(dispatcher, send);
  SimulatedRequest& request = requests_[send.request - 1];
  RunningAttempt attempt;
  attempt.request = send.request - 1;
  attempt.attempt = request.sends++;
  attempt.engine = send.engine;
  attempt.remaining_work = request.work;
  attempt.sent_at = now_;
  attempt.next_update_at = now_ + settings_.progress_interval.value_or(0);
  attempt.lost = conditions_.loss_rate > 0 && random_.unit() < conditions_.loss_rate;
  ++request.attempts_in_flight;
  EngineProcess& target = engines_.process(send.engine);
  if (!target.exited && target.attempts.size() < target.max_attempts) {
    target.attempts.push_back(attempt);
    return;
  }
  const Outcome outcome = target.exited ? Outcome::kConnectFailed : Outcome::kRejected;
  schedule(now_ + kTimeStep, [this, attempt, outcome] {
    report_outcome(attempt, outcome);
  });
}

void SimulatedCluster::check_send(std::uint32_t dispatcher, const Send& send) {
  const SimulatedRequest& request = requests_[send.request - 1];
  if (request.ended_at >= 0) ++violations_.sends_after_completion;
  const bool idempotent = settings_.classes[request.class_index].idempotency != Idempotency::kNonIdempotent;
  const bool may_have_run = request.attempts_in_flight > 0 || request.may_have_run;
  if (!idempotent && may_have_run) ++violations_.duplicate_non_idempotent_sends;
  if (sent_after_drain(dispatcher, send.engine)) ++violations_.sends_after_drain;
}

bool SimulatedCluster::sent_after_drain(std::uint32_t dispatcher, EngineId engine) const {
  auto closed_since =
      dispatchers_[dispatcher].closed_since(engine).value_or(std::numeric_limits<Time>::max());
  if (const auto drained_at = engines_.drained_at(engine)) {
    closed_since = std::min(closed_since, *drained_at + kListDelayAllowance);
  }
  return closed_since < now_ - settings_.drain_grace_period;
}

void SimulatedCluster::record_send(std::uint32_t dispatcher, const Send& send) {
  SentAttempt sent;
  sent.sent_at = now_;
  sent.dispatcher = dispatcher;
  sent.engine = send.engine;
  sent.process = engines_.process_index(send.engine);
  sent.work = requests_[send.request - 1].work;
  sent.start_was_listed =
      dispatchers_[dispatcher].lists_start(send.engine, engines_.process(send.engine).started_at);
  sent_attempts_.push_back(sent);
}

void SimulatedCluster::cancel(const Cancel& cancel) {
  const auto is_cancelled = [&cancel](const RunningAttempt& attempt) {
    return attempt.request + 1 == cancel.request && attempt.attempt == cancel.attempt;
  };
  for (auto& process : engines_.processes()) {
    const auto found = std::find_if(process.attempts.begin(), process.attempts.end(), is_cancelled);
    if (found == process.attempts.end()) continue;
    const RunningAttempt cancelled = *found;
    process.attempts.erase(found);
    report_outcome(cancelled, Outcome::kCancelled);
  }
}

void SimulatedCluster::probe(std::uint32_t dispatcher, const Probe& probe) {
  const EngineProcess& target = engines_.process(probe.engine);
  ProbeEnded ended;
  ended.engine = probe.engine;
  ended.outcome = probe_outcome(target);
  if (ended.outcome == Outcome::kServed) {
    ended.report.emplace();
    ended.report->active_queries = static_cast<double>(target.attempts.size());
  }
  schedule(now_ + (target.hung ? kHungProbeTimeout : kTimeStep), [this, dispatcher, ended] {
    dispatchers_[dispatcher].receive(ended);
  });
}

// ---- figures ----

double SimulatedCluster::mean_work() const {
  double total = 0;
  for (const auto& request : requests_) total += request.work;
  return total / static_cast<double>(std::max<std::size_t>(1, requests_.size()));
}

std::size_t SimulatedCluster::unanswered_requests() const {
  const auto is_unanswered = [this](const SimulatedRequest& request) {
    const Time latest = request.deadline + settings_.response_grace_period + kTimeStep;
    return !request.orphaned && (request.ended_at < 0 || request.ended_at > latest);
  };
  return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), is_unanswered));
}

}  // namespace rookproxy::routing::simulation
