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

#include "lemonshift/router.h"

namespace lemonshift::fleet {

constexpr Time kSecond = 1'000'000, kStep = 5'000;
constexpr Time kToldBy = 7 * kSecond;  // what the directory has to tell counts as told by then

class Random {  // the library's distributions differ between platforms, its engines don't
 public:
  explicit Random(std::uint64_t seed) : bits_(seed) {}
  double unit() { return (static_cast<double>(bits_() >> 11) + 0.5) * 0x1p-53; }
  double gap(double mean) { return -mean * std::log(unit()); }
  double spread(double cv) {  // lognormal, of mean 1
    const double s2 = std::log1p(cv * cv), two_pi = 6.283185307179586;
    return std::exp(std::sqrt(-2 * s2 * std::log(unit())) * std::cos(two_pi * unit()) - s2 / 2);
  }

 private:
  std::mt19937_64 bits_;
};

struct Load {                                    // what comes of one class
  double per_second = 0, mean_work = 0, cv = 1;  // over the fleet; microseconds of one thread
  bool told = true;                              // does an estimate come with it?
};

struct Job {
  std::size_t request = 0;  // index into `asked`
  std::uint32_t attempt = 0;
  EngineId engine = 0;  // that it was sent to; the process may be another's
  double left = 0;
  Time sent = 0, note_at = 0;
  bool lost = false;  // its answer and notes get lost on the way
};

struct Process {
  double cores = 8;
  Time started = 0;
  bool gone = false, hung = false;
  std::vector<Job> jobs;
  std::size_t most = 64;  // more are turned away
};

struct Asked {
  std::uint32_t router = 0;
  ClassIndex cls = 0;
  double work = 0;
  Time arrived = 0, aim_at = 0, give_up_at = 0;
  Time ended = -1;      // final answer
  bool served = false;  // ... and which
  bool orphan = false;  // its dispatcher died
  std::uint32_t sends = 0;
  int out = 0;
  bool may_have_run = false;
};

struct Sent {
  Time at = 0;
  std::uint32_t router = 0;
  EngineId engine = 0;
  std::size_t process = 0;
  double work = 0;
  bool told = false;  // its dispatcher had been told of the start of that process
};

class Fleet {
 public:
  // Each dispatcher in so many processes, which part what rules that count all allow it, as
  // Dispatcher::share has it.
  Fleet(Settings settings, std::vector<Load> traffic, std::uint64_t seed, std::uint32_t parts = 1)
      : loads(std::move(traffic)),
        random(seed),
        settings_(std::move(settings)),
        parts_(parts),
        nodes_(settings_.routers * parts) {
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].next.assign(loads.size(), -1);
      start(i);
    }
  }

  EngineId add(Time started = 0) {
    const auto id = static_cast<EngineId>(reach.size());
    reach.push_back(processes.size());
    processes.emplace_back();
    processes.back().started = started;
    EngineEntry e;
    e.id = id, e.name = "engine-" + std::to_string(id), e.started = started;
    list.push_back(e);
    return id;
  }
  Process& process(EngineId id) { return processes[reach[id]]; }
  // The process ends; what is open there is reset. It may begin anew at its address.
  void end(EngineId id) {
    process(id).gone = true;
    for (const auto& job : std::exchange(process(id).jobs, {})) tell(job, Outcome::kConnectionLost);
  }
  void begin(EngineId id) {
    reach[id] = processes.size();
    processes.emplace_back();
    processes.back().started = entry(id).started = now;
    entry(id).state = EngineState::kServing;
    closed_.erase(id);
  }
  void retire(EngineId id) {  // it drains; the list says so when it is published
    entry(id).state = EngineState::kDraining;
    closed_.try_emplace(id, now);
  }
  EngineEntry& entry(EngineId id) {
    return *std::find_if(list.begin(), list.end(), [&](auto& e) { return e.id == id; });
  }

  // The list as it stands comes to each dispatcher at a moment of its own within `spread`, to one in
  // `late_one_in` after up to 6 s instead.
  void publish(Time spread, int late_one_in = 0) {
    ++version_;
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
      const bool late = late_one_in > 0 && random.unit() * late_one_in < 1;
      const auto after = static_cast<Time>(random.unit() * static_cast<double>(late ? 6 * kSecond : spread));
      const auto version = version_;
      at(now + after, [this, i, version, entries = list] {
        auto& n = nodes_[i];
        if (version <= n.version) return;
        n.version = version;
        learn(n, {ListKind::kWhole, entries});
      });
    }
  }
  // Killed; its successor knows the list of the day's start, or nothing, and within `after` the present one.
  void restart(std::uint32_t i, Time after = 2 * kSecond / 5, bool remembers = true) {
    for (auto& p : processes)
      std::erase_if(p.jobs, [&](const Job& job) { return asked[job.request].router == i; });
    for (const auto r : nodes_[i].open) asked[r].orphan = true;
    auto next = std::move(nodes_[i].next);
    nodes_[i] = {};
    nodes_[i].next = std::move(next);
    start(i);
    if (remembers) learn(nodes_[i], {ListKind::kRemembered, first_list});
    at(now + static_cast<Time>(random.unit() * static_cast<double>(after)), [this, i] {
      nodes_[i].version = version_;
      learn(nodes_[i], {ListKind::kWhole, list});
    });
  }

  void at(Time when, std::function<void()> what) { calendar_.emplace(when, std::move(what)); }

  void run(Time until) {
    if (first_list.empty()) {
      first_list = list;
      for (auto& n : nodes_) learn(n, {ListKind::kWhole, list});
    }
    for (; now < until; now += kStep) step();
  }
  // No more comes; all that is open has its end.
  void drain() {
    pushing = 0;
    const Time last = now + 30 * kSecond;
    while (now < last && std::any_of(nodes_.begin(), nodes_.end(), [](auto& n) { return !n.open.empty(); }))
      run(now + kSecond);
  }

  double mean_work() const {
    double sum = 0;
    for (const auto& a : asked) sum += a.work;
    return sum / static_cast<double>(std::max<std::size_t>(1, asked.size()));
  }
  double grown(const ColdStart& cold, double age) const {  // share of its capacity at this share of its ramp
    return cold.from + (warms_last ? 0 : (1 - cold.from) * age * age);
  }
  // Taken by a dispatcher that lived on and with no answer in its time.
  std::size_t unanswered() const {
    return static_cast<std::size_t>(std::count_if(asked.begin(), asked.end(), [this](const Asked& a) {
      return !a.orphan && (a.ended < 0 || a.ended > a.give_up_at + settings_.answer_grace + kStep);
    }));
  }

  std::vector<Load> loads;
  Random random;
  Time now = 0;
  double pushing = 1;       // times the usual traffic
  double busy_ones = 2.75;  // a tenth of the dispatchers carry so many times the mean
  double one_has = 0;       // share of all traffic that comes to the first, if any
  bool warms_last = false;  // a cold engine stays as it began until it is warm at once
  double estimate_off = 1;  // estimates, in times of the work
  double groups = 40;
  double losses = 0;  // share of attempts that nothing is heard of
  std::vector<Process> processes;
  std::vector<std::size_t> reach;  // by engine: the process that its address leads to
  std::vector<EngineEntry> list, first_list;
  std::vector<Asked> asked;
  std::vector<Sent> sent;
  int answers_twice = 0, sent_after_end = 0, unsafe_twice = 0, sent_after_close = 0, probes = 0;

 private:
  struct Node {
    std::unique_ptr<Router> router;
    std::vector<Event> inbox;
    std::priority_queue<std::pair<Time, std::uint64_t>, std::vector<std::pair<Time, std::uint64_t>>,
                        std::greater<>>
        timers;
    std::vector<Time> next;  // arrival, by class
    std::set<std::size_t> open;
    std::uint64_t version = 0;
    std::map<EngineId, EngineEntry> told;
    std::map<EngineId, Time> closed;  // when it was told that one takes nothing new
  };

  void start(std::uint32_t i) {
    auto s = settings_;
    s.ordinal = i / parts_;
    if (s.cold) s.cold->multiple /= parts_;
    nodes_[i].router = std::make_unique<Router>(s);
  }

  void learn(Node& n, const EngineList& news) {
    n.inbox.push_back(news);
    auto before = std::exchange(n.told, {});
    for (const auto& e : news.entries) n.told[e.id] = e;
    for (const auto& [id, e] : before) {
      if (!n.told.contains(id)) n.closed.try_emplace(id, now);
    }
    for (const auto& [id, e] : n.told) {
      if (e.state == EngineState::kServing)
        n.closed.erase(id);
      else
        n.closed.try_emplace(id, now);
    }
  }

  void step() {
    while (!calendar_.empty() && calendar_.begin()->first <= now) {
      const auto what = std::move(calendar_.begin()->second);
      calendar_.erase(calendar_.begin());
      what();
    }
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) arrive(i);
    for (auto& p : processes) work(p);
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
      auto& n = nodes_[i];
      for (; !n.timers.empty() && n.timers.top().first <= now; n.timers.pop())
        n.inbox.push_back(TimerFired{n.timers.top().second});
      if (n.inbox.empty()) continue;
      const auto events = std::exchange(n.inbox, {});
      actions_.clear();
      n.router->handle(now, events, actions_);
      for (const auto& a : actions_) carry_out(i, a);
    }
  }

  void arrive(std::uint32_t i) {
    auto& n = nodes_[i];
    const auto nodes = static_cast<double>(nodes_.size());
    double part = (i % 10 == 3 ? busy_ones : (1 - busy_ones / 10) / 0.9) / nodes;
    if (one_has > 0) part = i == 0 ? one_has : (1 - one_has) / (nodes - 1);
    for (ClassIndex c = 0; c < loads.size(); ++c) {
      const double rate = loads[c].per_second * part * pushing;
      if (rate <= 0) continue;
      if (n.next[c] < 0) n.next[c] = now + static_cast<Time>(random.gap(1e6 / rate));
      while (n.next[c] <= now) {
        n.next[c] += 1 + static_cast<Time>(random.gap(1e6 / rate));
        const auto& k = settings_.classes[c];
        const double work = std::max(1000.0, loads[c].mean_work * random.spread(loads[c].cv));
        RequestArrived r;
        r.id = asked.size() + 1, r.cls = c, r.give_up_at = now + k.deadline;
        r.group = 1 + static_cast<std::uint64_t>(groups * std::pow(random.unit(), 2));
        if (loads[c].told) r.work = work * estimate_off * random.spread(0.15);
        Asked a;
        a.router = i, a.cls = c, a.work = work, a.arrived = now, a.give_up_at = r.give_up_at;
        a.aim_at = now + k.aim + static_cast<Time>(k.aim_stretch * work / k.threads);
        n.open.insert(asked.size());
        asked.push_back(a);
        n.inbox.push_back(r);
      }
    }
  }

  double share(const Process& p) const {
    if (!settings_.cold || p.started == 0) return 1;
    const double age = static_cast<double>(now - p.started) / static_cast<double>(settings_.cold->warm_after);
    return age >= 1 ? 1 : grown(*settings_.cold, age);
  }

  void work(Process& p) {
    double wanted = 0;
    for (const auto& job : p.jobs) wanted += settings_.classes[asked[job.request].cls].threads;
    const double pace = std::min(1.0, p.cores * share(p) / std::max(1.0, wanted));
    std::vector<Job> over;
    for (auto& job : p.jobs) {
      const auto& a = asked[job.request];
      if (!p.hung && !job.lost)
        job.left -= pace * settings_.classes[a.cls].threads * static_cast<double>(kStep);
      if (job.left <= 0 || now >= a.give_up_at) {
        over.push_back(job);
      } else if (settings_.note_interval && !p.hung && !job.lost && now >= job.note_at) {
        job.note_at = now + *settings_.note_interval;
        AttemptNote note;
        note.request = job.request + 1, note.attempt = job.attempt, note.engine = job.engine;
        note.amount = 1 - job.left / a.work;
        nodes_[a.router].inbox.push_back(note);
      }
    }
    std::erase_if(p.jobs, [&](const Job& j) { return j.left <= 0 || now >= asked[j.request].give_up_at; });
    for (const auto& job : over) tell(job, job.left <= 0 ? Outcome::kServed : Outcome::kNoAnswer);
  }

  void tell(const Job& job, Outcome outcome) {
    auto& a = asked[job.request];
    if (a.orphan) return;
    AttemptEnded e;
    e.request = job.request + 1, e.attempt = job.attempt, e.engine = job.engine, e.outcome = outcome;
    e.latency = now - job.sent;
    --a.out;
    a.may_have_run |= outcome != Outcome::kTurnedAway && outcome != Outcome::kNoConnection;
    if (outcome == Outcome::kServed && a.ended < 0) answer(job.request, true);
    e.over = a.ended >= 0;
    nodes_[a.router].inbox.push_back(e);
  }

  void answer(std::size_t request, bool served) {
    auto& a = asked[request];
    answers_twice += a.ended >= 0;
    a.ended = now, a.served = served;
    nodes_[a.router].open.erase(request);
  }

  void carry_out(std::uint32_t i, const Action& action) {
    auto& n = nodes_[i];
    if (const auto* w = std::get_if<Wake>(&action)) {
      n.timers.emplace(w->at, w->token);
    } else if (const auto* s = std::get_if<Send>(&action)) {
      send(i, *s);
    } else if (const auto* c = std::get_if<Cancel>(&action)) {
      for (auto& p : processes) {
        const auto job = std::find_if(p.jobs.begin(), p.jobs.end(), [&](const Job& j) {
          return j.request + 1 == c->request && j.attempt == c->attempt;
        });
        if (job == p.jobs.end()) continue;
        const Job ended = *job;
        p.jobs.erase(job);
        tell(ended, Outcome::kCancelled);
      }
    } else if (const auto* p = std::get_if<Probe>(&action)) {
      ++probes;
      const auto& to = process(p->engine);
      ProbeEnded e;
      e.engine = p->engine;
      e.outcome = to.gone ? Outcome::kNoConnection : to.hung ? Outcome::kNoAnswer : Outcome::kServed;
      if (e.outcome == Outcome::kServed) {
        e.report.emplace();
        e.report->held = static_cast<double>(to.jobs.size());
      }
      at(now + (to.hung ? kSecond / 4 : kStep), [this, i, e] { nodes_[i].inbox.push_back(e); });
    } else if (const auto* r = std::get_if<Refuse>(&action)) {
      answer(r->request - 1, false);
    } else if (const auto* f = std::get_if<Fail>(&action)) {
      answer(f->request - 1, false);
    }
  }

  void send(std::uint32_t i, const Send& s) {
    auto& n = nodes_[i];
    auto& a = asked[s.request - 1];
    const auto& k = settings_.classes[a.cls];
    sent_after_end += a.ended >= 0;
    unsafe_twice += k.effect == Effect::kUnsafe && (a.out > 0 || a.may_have_run);
    auto closed = n.closed.contains(s.engine) ? n.closed[s.engine] : std::numeric_limits<Time>::max();
    if (closed_.contains(s.engine)) closed = std::min(closed, closed_[s.engine] + kToldBy);
    sent_after_close += closed < now - settings_.drain_grace;
    const auto told = n.told.find(s.engine);
    auto& p = process(s.engine);
    sent.push_back({now, i, s.engine, reach[s.engine], a.work,
                    told != n.told.end() && told->second.started == p.started});
    Job job;
    job.request = s.request - 1, job.attempt = a.sends++, job.engine = s.engine, job.left = a.work;
    job.sent = now, job.note_at = now + settings_.note_interval.value_or(0);
    job.lost = losses > 0 && random.unit() < losses;
    ++a.out;
    if (p.gone || p.jobs.size() >= p.most) {
      at(now + kStep,
         [this, job, gone = p.gone] { tell(job, gone ? Outcome::kNoConnection : Outcome::kTurnedAway); });
    } else {
      p.jobs.push_back(job);
    }
  }

  Settings settings_;
  std::uint32_t parts_ = 1;
  std::vector<Node> nodes_;
  std::multimap<Time, std::function<void()>> calendar_;
  std::map<EngineId, Time> closed_;  // when it happened: known or not, it counts as told some seconds later
  std::uint64_t version_ = 0;
  std::vector<Action> actions_;
};

}  // namespace lemonshift::fleet
