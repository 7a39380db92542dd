// Simulates many Routers and the engines that they share in virtual time, to test the combined effect of
// decisions that each Router makes alone. The simulation is seeded and reproducible. It counts violations of
// the rules that every dispatcher has to keep; tests add their own checks.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing::fleet {

constexpr Time kSecond = 1'000'000, kStep = 5'000;
// Changes of the engine list count as known to all dispatchers after this time.
constexpr Time kListDelayAllowance = 7 * kSecond;

// The distributions of the standard library differ between platforms, its engines do not.
class Random {
 public:
  explicit Random(std::uint64_t seed) : bits_(seed) {}
  double unit() { return (static_cast<double>(bits_() >> 11) + 0.5) * 0x1p-53; }
  double exponential(double mean) { return -mean * std::log(unit()); }
  // Returns a sample of the lognormal distribution with mean 1 and coefficient of variation `cv`.
  double log_normal(double cv) {
    const double s2 = std::log1p(cv * cv), two_pi = 6.283185307179586;
    return std::exp(std::sqrt(-2 * s2 * std::log(unit())) * std::cos(two_pi * unit()) - s2 / 2);
  }

 private:
  std::mt19937_64 bits_;
};

// The traffic of one class over the whole fleet.
struct TrafficClass {
  // The mean work, in microseconds of one thread, and its coefficient of variation.
  double requests_per_second = 0, mean_work = 0, coefficient_of_variation = 1;
  // Whether requests arrive with an estimate of their work.
  bool has_estimate = true;
};

struct RunningAttempt {
  // Index into `requests`.
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  // Engine that it was sent to; its address may lead to the process of another engine.
  EngineId engine = 0;
  double remaining_work = 0;
  Time sent_at = 0, next_update_at = 0;
  // Whether its response and updates are lost.
  bool lost = false;
};

struct EngineProcess {
  double cores = 8;
  Time started_at = 0;
  bool exited = false, hung = false;
  std::vector<RunningAttempt> attempts;
  // Further attempts are rejected.
  std::size_t max_attempts = 64;
};

struct SimulatedRequest {
  std::uint32_t dispatcher = 0;
  ClassIndex class_index = 0;
  double work = 0;
  Time arrived = 0, objective_at = 0, deadline = 0;
  // Time of the final response. -1: none yet.
  Time ended_at = -1;
  // Whether the request was served.
  bool succeeded = false;
  // Whether its dispatcher was killed.
  bool orphaned = false;
  std::uint32_t sends = 0;
  int attempts_in_flight = 0;
  bool may_have_run = false;
};

struct SentAttempt {
  Time sent_at = 0;
  std::uint32_t dispatcher = 0;
  EngineId engine = 0;
  std::size_t process = 0;
  double work = 0;
  // Whether its dispatcher knew the start time of that process.
  bool start_was_listed = false;
};

// A fleet of dispatchers, its traffic and its engines. Time advances in steps of kStep.
class SimulatedCluster {
 public:
  // A fleet of dispatchers that each run `processes_each` processes, which divide the slow-start budget among
  // them.
  SimulatedCluster(Settings settings, std::vector<TrafficClass> traffic_by_class, std::uint64_t seed,
                   std::uint32_t processes_each = 1)
      : traffic_classes(std::move(traffic_by_class)),
        random(seed),
        settings_(std::move(settings)),
        processes_per_dispatcher_(processes_each),
        dispatchers_(settings_.instance_count * processes_each) {
    for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) {
      dispatchers_[i].next.assign(traffic_classes.size(), -1);
      start(i);
    }
  }

  EngineId add_engine(Time started = 0) {
    const auto id = static_cast<EngineId>(process_of_engine.size());
    process_of_engine.push_back(processes.size());
    processes.emplace_back();
    processes.back().started_at = started;
    EngineEntry e;
    e.id = id, e.name = "engine-" + std::to_string(id), e.started_at = started;
    engine_list.push_back(e);
    return id;
  }
  EngineProcess& process(EngineId id) { return processes[process_of_engine[id]]; }
  // Ends the engine's process and resets its connections. It may be started again at the same address.
  void stop_process(EngineId id) {
    process(id).exited = true;
    for (const auto& running : std::exchange(process(id).attempts, {}))
      report_outcome(running, Outcome::kConnectionLost);
  }
  void start_process(EngineId id) {
    process_of_engine[id] = processes.size();
    processes.emplace_back();
    processes.back().started_at = entry(id).started_at = now;
    entry(id).state = EngineState::kServing;
    drained_at_.erase(id);
  }
  // Starts draining the engine. Dispatchers learn of it when the list is published.
  void drain_engine(EngineId id) {
    entry(id).state = EngineState::kDraining;
    drained_at_.try_emplace(id, now);
  }
  EngineEntry& entry(EngineId id) {
    return *std::find_if(engine_list.begin(), engine_list.end(), [&](auto& e) { return e.id == id; });
  }

  // Delivers the current list to each dispatcher after a random time of up to `max_delay`, or up to 6 s for
  // one in `delayed_one_in` dispatchers.
  void publish_list(Time max_delay, int delayed_one_in = 0) {
    ++version_;
    for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) {
      const bool late = delayed_one_in > 0 && random.unit() * delayed_one_in < 1;
      const auto list_delay =
          static_cast<Time>(random.unit() * static_cast<double>(late ? 6 * kSecond : max_delay));
      const auto version = version_;
      schedule(now + list_delay, [this, i, version, entries = engine_list] {
        auto& n = dispatchers_[i];
        if (version <= n.version) return;
        n.version = version;
        deliver_list(n, {EngineListKind::kSnapshot, entries});
      });
    }
  }
  // Kills the dispatcher and starts a new one, which has the initial list as a cache if `has_cached_list`,
  // and gets the current list within `list_delay`.
  void restart_dispatcher(std::uint32_t i, Time list_delay = 2 * kSecond / 5, bool has_cached_list = true) {
    for (auto& p : processes)
      std::erase_if(p.attempts,
                    [&](const RunningAttempt& running) { return requests[running.request].dispatcher == i; });
    for (const auto r : dispatchers_[i].open) requests[r].orphaned = true;
    auto next = std::move(dispatchers_[i].next);
    dispatchers_[i] = {};
    dispatchers_[i].next = std::move(next);
    start(i);
    if (has_cached_list) deliver_list(dispatchers_[i], {EngineListKind::kCached, initial_list});
    schedule(now + static_cast<Time>(random.unit() * static_cast<double>(list_delay)), [this, i] {
      dispatchers_[i].version = version_;
      deliver_list(dispatchers_[i], {EngineListKind::kSnapshot, engine_list});
    });
  }

  void schedule(Time due_at, std::function<void()> callback) {
    scheduled_.emplace(due_at, std::move(callback));
  }

  void run(Time until) {
    if (initial_list.empty()) {
      initial_list = engine_list;
      for (auto& n : dispatchers_) deliver_list(n, {EngineListKind::kSnapshot, engine_list});
    }
    for (; now < until; now += kStep) step();
  }
  // Stops the traffic and runs until all open requests have ended.
  void drain() {
    traffic_factor = 0;
    const Time last = now + 30 * kSecond;
    while (now < last &&
           std::any_of(dispatchers_.begin(), dispatchers_.end(), [](auto& n) { return !n.open.empty(); }))
      run(now + kSecond);
  }

  double mean_work() const {
    double sum = 0;
    for (const auto& a : requests) sum += a.work;
    return sum / static_cast<double>(std::max<std::size_t>(1, requests.size()));
  }
  // Returns the fraction of its capacity that an engine has at the fraction `age` of its warm-up.
  double capacity_share(const SlowStart& cold, double age) const {
    return cold.initial_share + (capacity_grows_at_end ? 0 : (1 - cold.initial_share) * age * age);
  }
  // Returns the number of requests that got no response in time although their dispatcher was not killed.
  std::size_t unanswered() const {
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [this](const SimulatedRequest& a) {
          return !a.orphaned &&
                 (a.ended_at < 0 || a.ended_at > a.deadline + settings_.response_grace_period + kStep);
        }));
  }

  std::vector<TrafficClass> traffic_classes;
  Random random;
  Time now = 0;
  // Multiplies the traffic of all classes.
  double traffic_factor = 1;
  // A tenth of the dispatchers get this multiple of the mean traffic.
  double busy_dispatcher_factor = 2.75;
  // Fraction of all traffic that the first dispatcher gets. 0: the same as others.
  double first_dispatcher_share = 0;
  // Whether an engine stays at its initial capacity until the end of its warm-up.
  bool capacity_grows_at_end = false;
  // Ratio of estimated to actual work.
  double estimate_factor = 1;
  double table_groups = 40;
  // Fraction of attempts whose response and updates are lost.
  double loss_rate = 0;
  std::vector<EngineProcess> processes;
  // Index of the process at the address of each engine.
  std::vector<std::size_t> process_of_engine;
  std::vector<EngineEntry> engine_list, initial_list;
  std::vector<SimulatedRequest> requests;
  std::vector<SentAttempt> sent_attempts;
  int duplicate_responses = 0, sends_after_completion = 0, duplicate_non_idempotent_sends = 0,
      sends_after_drain = 0, probes = 0;

 private:
  struct Dispatcher {
    std::unique_ptr<Router> router;
    std::vector<Event> inbox;
    std::priority_queue<std::pair<Time, std::uint64_t>, std::vector<std::pair<Time, std::uint64_t>>,
                        std::greater<>>
        timers;
    // Time of the next arrival, by class.
    std::vector<Time> next;
    std::set<std::size_t> open;
    std::uint64_t version = 0;
    std::map<EngineId, EngineEntry> known_engines;
    // Time at which the dispatcher learned that the engine accepts no requests.
    std::map<EngineId, Time> closed_at;
  };

  void start(std::uint32_t i) {
    auto s = settings_;
    s.instance_index = i / processes_per_dispatcher_;
    if (s.slow_start) s.slow_start->overload_factor /= processes_per_dispatcher_;
    dispatchers_[i].router = std::make_unique<Router>(s);
  }

  void deliver_list(Dispatcher& n, const EngineList& list) {
    n.inbox.push_back(list);
    auto before = std::exchange(n.known_engines, {});
    for (const auto& e : list.entries) n.known_engines[e.id] = e;
    for (const auto& [id, e] : before) {
      if (!n.known_engines.contains(id)) n.closed_at.try_emplace(id, now);
    }
    for (const auto& [id, e] : n.known_engines) {
      if (e.state == EngineState::kServing)
        n.closed_at.erase(id);
      else
        n.closed_at.try_emplace(id, now);
    }
  }

  void step() {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
      const auto callback = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      callback();
    }
    for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) generate_arrivals(i);
    for (auto& p : processes) run_process(p);
    for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) {
      auto& n = dispatchers_[i];
      for (; !n.timers.empty() && n.timers.top().first <= now; n.timers.pop())
        n.inbox.push_back(TimerFired{n.timers.top().second});
      if (n.inbox.empty()) continue;
      const auto events = std::exchange(n.inbox, {});
      actions_.clear();
      n.router->handle(now, events, actions_);
      for (const auto& a : actions_) apply_action(i, a);
    }
  }

  void generate_arrivals(std::uint32_t i) {
    auto& n = dispatchers_[i];
    const auto dispatcher_count = static_cast<double>(dispatchers_.size());
    double part =
        (i % 10 == 3 ? busy_dispatcher_factor : (1 - busy_dispatcher_factor / 10) / 0.9) / dispatcher_count;
    if (first_dispatcher_share > 0)
      part = i == 0 ? first_dispatcher_share : (1 - first_dispatcher_share) / (dispatcher_count - 1);
    for (ClassIndex c = 0; c < traffic_classes.size(); ++c) {
      const double rate = traffic_classes[c].requests_per_second * part * traffic_factor;
      if (rate <= 0) continue;
      if (n.next[c] < 0) n.next[c] = now + static_cast<Time>(random.exponential(1e6 / rate));
      while (n.next[c] <= now) {
        n.next[c] += 1 + static_cast<Time>(random.exponential(1e6 / rate));
        const auto& k = settings_.classes[c];
        const double work =
            std::max(1000.0, traffic_classes[c].mean_work *
                                 random.log_normal(traffic_classes[c].coefficient_of_variation));
        RequestArrived r;
        r.id = requests.size() + 1, r.class_index = c, r.deadline = now + k.timeout;
        r.group = 1 + static_cast<std::uint64_t>(table_groups * std::pow(random.unit(), 2));
        if (traffic_classes[c].has_estimate) r.work = work * estimate_factor * random.log_normal(0.15);
        SimulatedRequest a;
        a.dispatcher = i, a.class_index = c, a.work = work, a.arrived = now, a.deadline = r.deadline;
        a.objective_at =
            now + k.latency_objective + static_cast<Time>(k.latency_objective_per_work * work / k.threads);
        n.open.insert(requests.size());
        requests.push_back(a);
        n.inbox.push_back(r);
      }
    }
  }

  double warm_up_share(const EngineProcess& p) const {
    if (!settings_.slow_start || p.started_at == 0) return 1;
    const double age =
        static_cast<double>(now - p.started_at) / static_cast<double>(settings_.slow_start->warm_up_period);
    return age >= 1 ? 1 : capacity_share(*settings_.slow_start, age);
  }

  void run_process(EngineProcess& p) {
    double wanted_threads = 0;
    for (const auto& running : p.attempts)
      wanted_threads += settings_.classes[requests[running.request].class_index].threads;
    const double speed = std::min(1.0, p.cores * warm_up_share(p) / std::max(1.0, wanted_threads));
    std::vector<RunningAttempt> finished;
    for (auto& running : p.attempts) {
      const auto& a = requests[running.request];
      if (!p.hung && !running.lost)
        running.remaining_work -=
            speed * settings_.classes[a.class_index].threads * static_cast<double>(kStep);
      if (running.remaining_work <= 0 || now >= a.deadline) {
        finished.push_back(running);
      } else if (settings_.progress_interval && !p.hung && !running.lost && now >= running.next_update_at) {
        running.next_update_at = now + *settings_.progress_interval;
        AttemptUpdate update;
        update.request = running.request + 1, update.attempt = running.attempt,
        update.engine = running.engine;
        update.amount = 1 - running.remaining_work / a.work;
        dispatchers_[a.dispatcher].inbox.push_back(update);
      }
    }
    std::erase_if(p.attempts, [&](const RunningAttempt& j) {
      return j.remaining_work <= 0 || now >= requests[j.request].deadline;
    });
    for (const auto& running : finished)
      report_outcome(running, running.remaining_work <= 0 ? Outcome::kServed : Outcome::kNoResponse);
  }

  void report_outcome(const RunningAttempt& running, Outcome outcome) {
    auto& a = requests[running.request];
    if (a.orphaned) return;
    AttemptEnded e;
    e.request = running.request + 1, e.attempt = running.attempt, e.engine = running.engine,
    e.outcome = outcome;
    e.latency = now - running.sent_at;
    --a.attempts_in_flight;
    a.may_have_run |= outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed;
    if (outcome == Outcome::kServed && a.ended_at < 0) complete_request(running.request, true);
    e.completed = a.ended_at >= 0;
    dispatchers_[a.dispatcher].inbox.push_back(e);
  }

  void complete_request(std::size_t request, bool served) {
    auto& a = requests[request];
    duplicate_responses += a.ended_at >= 0;
    a.ended_at = now, a.succeeded = served;
    dispatchers_[a.dispatcher].open.erase(request);
  }

  void apply_action(std::uint32_t i, const Action& action) {
    auto& n = dispatchers_[i];
    if (const auto* w = std::get_if<SetTimer>(&action)) {
      n.timers.emplace(w->at, w->token);
    } else if (const auto* s = std::get_if<Send>(&action)) {
      send(i, *s);
    } else if (const auto* c = std::get_if<Cancel>(&action)) {
      for (auto& p : processes) {
        const auto running = std::find_if(p.attempts.begin(), p.attempts.end(), [&](const RunningAttempt& j) {
          return j.request + 1 == c->request && j.attempt == c->attempt;
        });
        if (running == p.attempts.end()) continue;
        const RunningAttempt ended = *running;
        p.attempts.erase(running);
        report_outcome(ended, Outcome::kCancelled);
      }
    } else if (const auto* p = std::get_if<Probe>(&action)) {
      ++probes;
      const auto& to = process(p->engine);
      ProbeEnded e;
      e.engine = p->engine;
      e.outcome = to.exited ? Outcome::kConnectFailed : to.hung ? Outcome::kNoResponse : Outcome::kServed;
      if (e.outcome == Outcome::kServed) {
        e.report.emplace();
        e.report->active_queries = static_cast<double>(to.attempts.size());
      }
      schedule(now + (to.hung ? kSecond / 4 : kStep), [this, i, e] { dispatchers_[i].inbox.push_back(e); });
    } else if (const auto* r = std::get_if<Reject>(&action)) {
      complete_request(r->request - 1, false);
    } else if (const auto* f = std::get_if<Fail>(&action)) {
      complete_request(f->request - 1, false);
    }
  }

  void send(std::uint32_t i, const Send& s) {
    auto& n = dispatchers_[i];
    auto& a = requests[s.request - 1];
    const auto& k = settings_.classes[a.class_index];
    sends_after_completion += a.ended_at >= 0;
    duplicate_non_idempotent_sends +=
        k.idempotency == Idempotency::kNonIdempotent && (a.attempts_in_flight > 0 || a.may_have_run);
    auto closed = n.closed_at.contains(s.engine) ? n.closed_at[s.engine] : std::numeric_limits<Time>::max();
    if (drained_at_.contains(s.engine))
      closed = std::min(closed, drained_at_[s.engine] + kListDelayAllowance);
    sends_after_drain += closed < now - settings_.drain_grace_period;
    const auto known = n.known_engines.find(s.engine);
    auto& p = process(s.engine);
    sent_attempts.push_back({now, i, s.engine, process_of_engine[s.engine], a.work,
                             known != n.known_engines.end() && known->second.started_at == p.started_at});
    RunningAttempt running;
    running.request = s.request - 1, running.attempt = a.sends++, running.engine = s.engine,
    running.remaining_work = a.work;
    running.sent_at = now, running.next_update_at = now + settings_.progress_interval.value_or(0);
    running.lost = loss_rate > 0 && random.unit() < loss_rate;
    ++a.attempts_in_flight;
    if (p.exited || p.attempts.size() >= p.max_attempts) {
      schedule(now + kStep, [this, running, process_exited = p.exited] {
        report_outcome(running, process_exited ? Outcome::kConnectFailed : Outcome::kRejected);
      });
    } else {
      p.attempts.push_back(running);
    }
  }

  Settings settings_;
  std::uint32_t processes_per_dispatcher_ = 1;
  std::vector<Dispatcher> dispatchers_;
  std::multimap<Time, std::function<void()>> scheduled_;
  std::map<EngineId, Time>
      // Time at which the engine started to drain, whether dispatchers know it or not.
      drained_at_;
  std::uint64_t version_ = 0;
  std::vector<Action> actions_;
};

}  // namespace rookproxy::routing::fleet
