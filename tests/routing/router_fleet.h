// Many Routers in virtual time over models of engines: what each decides alone, summed over the fleet.
// Seeded, so the same figures come at every run. The fleet counts what the rules forbid; tests add their own
// sums.
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
constexpr Time kListDelayAllowance = 7 * kSecond;  // what the directory has to tell counts as told by then

class Random {  // the library's distributions differ between platforms, its engines don't
 public:
  explicit Random(std::uint64_t seed) : bits_(seed) {}
  double unit() { return (static_cast<double>(bits_() >> 11) + 0.5) * 0x1p-53; }
  double exponential(double mean) { return -mean * std::log(unit()); }
  double log_normal(double cv) {  // lognormal, of mean 1
    const double s2 = std::log1p(cv * cv), two_pi = 6.283185307179586;
    return std::exp(std::sqrt(-2 * s2 * std::log(unit())) * std::cos(two_pi * unit()) - s2 / 2);
  }

 private:
  std::mt19937_64 bits_;
};

struct TrafficClass {  // what comes of one class
  double requests_per_second = 0, mean_work = 0,
         coefficient_of_variation = 1;  // over the fleet; microseconds of one thread
  bool has_estimate = true;             // does an estimate come with it?
};

struct RunningAttempt {
  std::size_t request = 0;  // index into `asked`
  std::uint32_t attempt = 0;
  EngineId engine = 0;  // that it was sent to; the process may be another's
  double remaining_work = 0;
  Time sent_at = 0, next_update_at = 0;
  bool lost = false;  // its answer and notes get lost on the way
};

struct EngineProcess {
  double cores = 8;
  Time started_at = 0;
  bool exited = false, hung = false;
  std::vector<RunningAttempt> attempts;
  std::size_t max_attempts = 64;  // more are turned away
};

struct SimulatedRequest {
  std::uint32_t dispatcher = 0;
  ClassIndex class_index = 0;
  double work = 0;
  Time arrived = 0, objective_at = 0, deadline = 0;
  Time ended_at = -1;      // final answer
  bool succeeded = false;  // ... and which
  bool orphaned = false;   // its dispatcher died
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
  bool start_was_listed = false;  // its dispatcher had been told of the start of that process
};

class SimulatedCluster {
 public:
  // Each dispatcher in so many processes, which part what rules that count all allow it, as
  // Dispatcher::share has it.
  SimulatedCluster(Settings settings, std::vector<TrafficClass> traffic, std::uint64_t seed,
                   std::uint32_t parts = 1)
      : loads(std::move(traffic)),
        random(seed),
        settings_(std::move(settings)),
        processes_per_dispatcher_(parts),
        dispatchers_(settings_.instance_count * parts) {
    for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) {
      dispatchers_[i].next.assign(loads.size(), -1);
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
  // The process ends; what is open there is reset. It may begin anew at its address.
  void stop_process(EngineId id) {
    process(id).exited = true;
    for (const auto& job : std::exchange(process(id).attempts, {}))
      report_outcome(job, Outcome::kConnectionLost);
  }
  void start_process(EngineId id) {
    process_of_engine[id] = processes.size();
    processes.emplace_back();
    processes.back().started_at = entry(id).started_at = now;
    entry(id).state = EngineState::kServing;
    drained_at_.erase(id);
  }
  void drain_engine(EngineId id) {  // it drains; the list says so when it is published
    entry(id).state = EngineState::kDraining;
    drained_at_.try_emplace(id, now);
  }
  EngineEntry& entry(EngineId id) {
    return *std::find_if(engine_list.begin(), engine_list.end(), [&](auto& e) { return e.id == id; });
  }

  // The list as it stands comes to each dispatcher at a moment of its own within `spread`, to one in
  // `late_one_in` after up to 6 s instead.
  void publish_list(Time spread, int late_one_in = 0) {
    ++version_;
    for (std::uint32_t i = 0; i < dispatchers_.size(); ++i) {
      const bool late = late_one_in > 0 && random.unit() * late_one_in < 1;
      const auto after = static_cast<Time>(random.unit() * static_cast<double>(late ? 6 * kSecond : spread));
      const auto version = version_;
      schedule(now + after, [this, i, version, entries = engine_list] {
        auto& n = dispatchers_[i];
        if (version <= n.version) return;
        n.version = version;
        deliver_list(n, {EngineListKind::kSnapshot, entries});
      });
    }
  }
  // Killed; its successor knows the list of the day's start, or nothing, and within `after` the present one.
  void restart_dispatcher(std::uint32_t i, Time after = 2 * kSecond / 5, bool remembers = true) {
    for (auto& p : processes)
      std::erase_if(p.attempts,
                    [&](const RunningAttempt& job) { return requests[job.request].dispatcher == i; });
    for (const auto r : dispatchers_[i].open) requests[r].orphaned = true;
    auto next = std::move(dispatchers_[i].next);
    dispatchers_[i] = {};
    dispatchers_[i].next = std::move(next);
    start(i);
    if (remembers) deliver_list(dispatchers_[i], {EngineListKind::kCached, initial_list});
    schedule(now + static_cast<Time>(random.unit() * static_cast<double>(after)), [this, i] {
      dispatchers_[i].version = version_;
      deliver_list(dispatchers_[i], {EngineListKind::kSnapshot, engine_list});
    });
  }

  void schedule(Time when, std::function<void()> what) { calendar_.emplace(when, std::move(what)); }

  void run(Time until) {
    if (initial_list.empty()) {
      initial_list = engine_list;
      for (auto& n : dispatchers_) deliver_list(n, {EngineListKind::kSnapshot, engine_list});
    }
    for (; now < until; now += kStep) step();
  }
  // No more comes; all that is open has its end.
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
  double capacity_share(const SlowStart& cold,
                        double age) const {  // share of its capacity at this share of its ramp
    return cold.initial_share + (capacity_grows_at_end ? 0 : (1 - cold.initial_share) * age * age);
  }
  // Taken by a dispatcher that lived on and with no answer in its time.
  std::size_t unanswered() const {
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [this](const SimulatedRequest& a) {
          return !a.orphaned &&
                 (a.ended_at < 0 || a.ended_at > a.deadline + settings_.response_grace_period + kStep);
        }));
  }

  std::vector<TrafficClass> loads;
  Random random;
  Time now = 0;
  double traffic_factor = 1;             // times the usual traffic
  double busy_dispatcher_factor = 2.75;  // a tenth of the dispatchers carry so many times the mean
  double first_dispatcher_share = 0;     // share of all traffic that comes to the first, if any
  bool capacity_grows_at_end = false;    // a cold engine stays as it began until it is warm at once
  double estimate_factor = 1;            // estimates, in times of the work
  double table_groups = 40;
  double loss_rate = 0;  // share of attempts that nothing is heard of
  std::vector<EngineProcess> processes;
  std::vector<std::size_t> process_of_engine;  // by engine: the process that its address leads to
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
    std::vector<Time> next;  // arrival, by class
    std::set<std::size_t> open;
    std::uint64_t version = 0;
    std::map<EngineId, EngineEntry> known_engines;
    std::map<EngineId, Time> closed_at;  // when it was told that one takes nothing new
  };

  void start(std::uint32_t i) {
    auto s = settings_;
    s.instance_index = i / processes_per_dispatcher_;
    if (s.slow_start) s.slow_start->overload_factor /= processes_per_dispatcher_;
    dispatchers_[i].router = std::make_unique<Router>(s);
  }

  void deliver_list(Dispatcher& n, const EngineList& news) {
    n.inbox.push_back(news);
    auto before = std::exchange(n.known_engines, {});
    for (const auto& e : news.entries) n.known_engines[e.id] = e;
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
    while (!calendar_.empty() && calendar_.begin()->first <= now) {
      const auto what = std::move(calendar_.begin()->second);
      calendar_.erase(calendar_.begin());
      what();
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
    const auto nodes = static_cast<double>(dispatchers_.size());
    double part = (i % 10 == 3 ? busy_dispatcher_factor : (1 - busy_dispatcher_factor / 10) / 0.9) / nodes;
    if (first_dispatcher_share > 0)
      part = i == 0 ? first_dispatcher_share : (1 - first_dispatcher_share) / (nodes - 1);
    for (ClassIndex c = 0; c < loads.size(); ++c) {
      const double rate = loads[c].requests_per_second * part * traffic_factor;
      if (rate <= 0) continue;
      if (n.next[c] < 0) n.next[c] = now + static_cast<Time>(random.exponential(1e6 / rate));
      while (n.next[c] <= now) {
        n.next[c] += 1 + static_cast<Time>(random.exponential(1e6 / rate));
        const auto& k = settings_.classes[c];
        const double work =
            std::max(1000.0, loads[c].mean_work * random.log_normal(loads[c].coefficient_of_variation));
        RequestArrived r;
        r.id = requests.size() + 1, r.class_index = c, r.deadline = now + k.timeout;
        r.group = 1 + static_cast<std::uint64_t>(table_groups * std::pow(random.unit(), 2));
        if (loads[c].has_estimate) r.work = work * estimate_factor * random.log_normal(0.15);
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
    double wanted = 0;
    for (const auto& job : p.attempts) wanted += settings_.classes[requests[job.request].class_index].threads;
    const double pace = std::min(1.0, p.cores * warm_up_share(p) / std::max(1.0, wanted));
    std::vector<RunningAttempt> over;
    for (auto& job : p.attempts) {
      const auto& a = requests[job.request];
      if (!p.hung && !job.lost)
        job.remaining_work -= pace * settings_.classes[a.class_index].threads * static_cast<double>(kStep);
      if (job.remaining_work <= 0 || now >= a.deadline) {
        over.push_back(job);
      } else if (settings_.progress_interval && !p.hung && !job.lost && now >= job.next_update_at) {
        job.next_update_at = now + *settings_.progress_interval;
        AttemptUpdate note;
        note.request = job.request + 1, note.attempt = job.attempt, note.engine = job.engine;
        note.amount = 1 - job.remaining_work / a.work;
        dispatchers_[a.dispatcher].inbox.push_back(note);
      }
    }
    std::erase_if(p.attempts, [&](const RunningAttempt& j) {
      return j.remaining_work <= 0 || now >= requests[j.request].deadline;
    });
    for (const auto& job : over)
      report_outcome(job, job.remaining_work <= 0 ? Outcome::kServed : Outcome::kNoResponse);
  }

  void report_outcome(const RunningAttempt& job, Outcome outcome) {
    auto& a = requests[job.request];
    if (a.orphaned) return;
    AttemptEnded e;
    e.request = job.request + 1, e.attempt = job.attempt, e.engine = job.engine, e.outcome = outcome;
    e.latency = now - job.sent_at;
    --a.attempts_in_flight;
    a.may_have_run |= outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed;
    if (outcome == Outcome::kServed && a.ended_at < 0) complete_request(job.request, true);
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
        const auto job = std::find_if(p.attempts.begin(), p.attempts.end(), [&](const RunningAttempt& j) {
          return j.request + 1 == c->request && j.attempt == c->attempt;
        });
        if (job == p.attempts.end()) continue;
        const RunningAttempt ended = *job;
        p.attempts.erase(job);
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
    const auto told = n.known_engines.find(s.engine);
    auto& p = process(s.engine);
    sent_attempts.push_back({now, i, s.engine, process_of_engine[s.engine], a.work,
                             told != n.known_engines.end() && told->second.started_at == p.started_at});
    RunningAttempt job;
    job.request = s.request - 1, job.attempt = a.sends++, job.engine = s.engine, job.remaining_work = a.work;
    job.sent_at = now, job.next_update_at = now + settings_.progress_interval.value_or(0);
    job.lost = loss_rate > 0 && random.unit() < loss_rate;
    ++a.attempts_in_flight;
    if (p.exited || p.attempts.size() >= p.max_attempts) {
      schedule(now + kStep, [this, job, gone = p.exited] {
        report_outcome(job, gone ? Outcome::kConnectFailed : Outcome::kRejected);
      });
    } else {
      p.attempts.push_back(job);
    }
  }

  Settings settings_;
  std::uint32_t processes_per_dispatcher_ = 1;
  std::vector<Dispatcher> dispatchers_;
  std::multimap<Time, std::function<void()>> calendar_;
  std::map<EngineId, Time>
      drained_at_;  // when it happened: known or not, it counts as told some seconds later
  std::uint64_t version_ = 0;
  std::vector<Action> actions_;
};

}  // namespace rookproxy::routing::fleet
