// The budget of cold engines as a sum over all dispatchers: nobody sees it, each keeps a part of its own.
#include <gtest/gtest.h>

#include <cstdio>

#include "routing/router_fleet.h"

namespace rookproxy::routing {
namespace {

using fleet::kSecond;
using fleet::SimulatedCluster;
using fleet::TrafficClass;

constexpr double kBusyShare = 0.85;  // of its cores that an engine's capacity may come to, at the least

struct Case {
  const char* name;
  std::uint32_t routers = 100;
  SlowStart cold = {0.3, 15 * kSecond, 3, 1'500'000};
  EngineId warm = 10, starting = 1;                                      // engines
  double busy = 0.6;                                                     // of the warm engines' cores
  double burst = 1;                                                      // times that, from the start for 4 s
  std::vector<double> mean_ms = {120, 900, 2000}, rates = {12, 2, 0.2};  // by class; rates against each other
  double estimates = 1;                                                  // in times of the work; 0: none come
  int starts = 1;                                                        // of each, 8 s apart
  bool dispatchers_restart = false;
  int late_one_in = 20;      // sees lists some seconds late
  bool starts_known = true;  // by a new id; false: the engine had run before
  std::uint32_t parts = 1;   // processes of each dispatcher
  double busy_ones = 2.75, one_has = 0;
  Time spread = 3 * kSecond / 2;  // of the moments at which lists are seen
  bool warms_last = false;
  std::vector<double> aims_ms = {600, 2000, 4000, 4000, 4000};
  // All dispatchers start anew so long after the engines, one after the other within `anew_within`, with the
  // list within `list_after` and no other word; 0: none does.
  Time anew_at = 0, anew_within = 0, list_after = 0;
  std::size_t most = 64;  // requests that a starting engine takes at a time; the rest it turns away at once
  double steps = 0;       // seconds from one starting engine to the next
};

Settings settings_of(const Case& c) {
  Settings s;
  s.instance_count = c.routers;
  s.max_attempts = 6, s.may_cancel = true, s.max_retry_after = 2 * kSecond;
  s.machine_types = {{"k", 8.0, 16384.0}};
  s.drain_grace_period = 2 * kSecond, s.progress_interval = kSecond / 2;
  s.priorities_supported = true;
  s.slow_start = c.cold;
  const char* names[] = {"lookup", "report", "load", "d", "e"};
  for (std::size_t i = 0; i < c.mean_ms.size(); ++i) {
    ClassSettings k;
    k.name = names[i];
    k.latency_objective = static_cast<Time>(1000 * c.aims_ms[i]);
    k.latency_objective_per_work = 2.5;
    k.timeout = i == 0 ? 3 * kSecond : 25 * kSecond;
    k.threads = i == 0 ? 1 : 2;
    k.priority_weight = 1 + 3 * static_cast<double>(i), k.late_weight = 0.3;
    if (i == 2) k.idempotency = Idempotency::kNonIdempotent, k.is_load = true;
    s.classes.push_back(k);
  }
  return s;
}

// Beyond what the settings allow so much is put down to chance, less than the standing test does.
double bound(double n) { return n + 2 * std::sqrt(n) + 2; }

struct Worst {
  double told = 0;   // of the bound, by dispatchers that had been told of the start
  double all = 0;    // by all, where over two thirds came from these
  double calls = 0;  // as `told`, with each request counted as one of mean work
};

// The worst span that ends with a send: its work against what the settings allow at its beginning.
void look(const SimulatedCluster& f, const SlowStart& cold, std::size_t process, Worst& worst) {
  const auto& p = f.processes[process];
  const double mean = f.mean_work();
  std::deque<const fleet::SentAttempt*> span;
  double told = 0, all = 0, calls = 0;
  for (const auto& s : f.sent_attempts) {
    if (s.process != process || s.sent_at - p.started_at >= cold.warm_up_period) continue;
    span.push_back(&s);
    told += s.start_was_listed * s.work, all += s.work, calls += s.start_was_listed;
    for (; span.front()->sent_at <= s.sent_at - cold.overload_window; span.pop_front()) {
      told -= span.front()->start_was_listed * span.front()->work, all -= span.front()->work;
      calls -= span.front()->start_was_listed;
    }
    const double age =
        static_cast<double>(std::max<Time>(0, s.sent_at - cold.overload_window - p.started_at)) /
        static_cast<double>(cold.warm_up_period);
    const double share = f.capacity_share(cold, age);
    const double n = cold.overload_factor * share * kBusyShare * p.cores *
                     static_cast<double>(cold.overload_window) / mean;
    const double most = bound(n) * mean;
    worst.told = std::max(worst.told, told / most);
    worst.calls = std::max(worst.calls, calls / bound(n));
    if (told > all * 2 / 3) worst.all = std::max(worst.all, all / most);
  }
}

struct Service {
  double used = 0;     // of the cold engines' cores
  double served = 0;   // of what came in the ramp
  double in_time = 0;  // ... within its aim
  double full_at = 0;  // seconds after the last start from which they carry nine tenths of a warm one's work
};

// The first two seconds in which the engines that started get nine tenths of the others' mean.
double carries_its_part(const SimulatedCluster& f, Time from, const std::set<EngineId>& cold, EngineId all) {
  for (Time at = from; at + 2 * kSecond <= f.now; at += kSecond / 2) {
    double theirs = 0, others = 0;
    for (const auto& s : f.sent_attempts) {
      if (s.sent_at >= at && s.sent_at < at + 2 * kSecond)
        (cold.contains(s.engine) ? theirs : others) += s.work;
    }
    const auto n = static_cast<double>(cold.size());
    if (theirs / n >= 0.9 * others / (all - n)) return static_cast<double>(at - from) / kSecond;
  }
  return -1;
}

Worst play(const Case& c, std::uint64_t seed, Service* service) {
  double a_round = 0, all_rates = 0;
  for (std::size_t i = 0; i < c.rates.size(); ++i) a_round += c.rates[i] * c.mean_ms[i] / 1000;
  for (const double one : c.rates) all_rates += one;
  std::vector<TrafficClass> loads;
  for (std::size_t i = 0; i < c.rates.size(); ++i)
    loads.push_back({c.busy * 8 * c.warm * c.rates[i] / a_round, c.mean_ms[i] * 1000, i == 0 ? 1.2 : 0.8,
                     c.estimates > 0});
  SimulatedCluster f(settings_of(c), loads, seed, c.parts);
  f.estimate_factor = c.estimates;
  f.busy_dispatcher_factor = c.busy_ones, f.first_dispatcher_share = c.one_has,
  f.capacity_grows_at_end = c.warms_last;
  for (EngineId i = 0; i < c.warm; ++i) f.add_engine();
  std::vector<EngineId> cold;
  if (!c.starts_known) {
    for (EngineId i = 0; i < c.starting; ++i) cold.push_back(f.add_engine());
  }
  f.run(6 * kSecond);
  const Time ramp = f.now;
  Time last_start = f.now;
  for (int start = 0; start < c.starts; ++start) {
    last_start = f.now;
    for (EngineId i = 0; i < c.starting; ++i) {
      if (i > 0 && c.steps > 0) {
        f.publish_list(c.spread, c.late_one_in);
        f.run(f.now + static_cast<Time>(c.steps * kSecond));
        last_start = f.now;
      }
      if (start == 0 && c.starts_known) {
        cold.push_back(f.add_engine(f.now));
      } else {
        f.stop_process(cold[i]);
        f.start_process(cold[i]);
      }
      f.process(cold[i]).max_attempts = c.most;
    }
    f.publish_list(c.spread, c.late_one_in);
    f.traffic_factor = c.burst;
    f.schedule(f.now + 4 * kSecond, [&f] { f.traffic_factor = 1; });
    if (c.dispatchers_restart) {
      for (std::uint32_t i = 0; i < c.routers; i += 3)
        f.schedule(f.now + kSecond / 2 + 4 * kSecond * i / c.routers, [&f, i] { f.restart_dispatcher(i); });
    }
    for (std::uint32_t i = 0; c.anew_at > 0 && i < c.routers * c.parts; ++i) {
      const auto when = f.now + c.anew_at + c.anew_within * i / (c.routers * c.parts);
      f.schedule(when, [&f, &c, i] { f.restart_dispatcher(i, c.list_after, false); });
    }
    f.run(f.now + (start + 1 < c.starts ? 8 * kSecond : c.cold.warm_up_period));
  }
  const Time ramp_over = f.now;
  f.run(f.now + 5 * kSecond);  // are they full members by then?
  Worst worst;
  double work = 0, time = 0;
  for (std::size_t p = 0; p < f.processes.size(); ++p) {
    if (f.processes[p].started_at == 0) continue;
    look(f, c.cold, p, worst);
    time += 8 * static_cast<double>(c.starts > 1 ? 8 * kSecond : c.cold.warm_up_period);
    for (const auto& s : f.sent_attempts) work += s.process == p && s.sent_at < ramp_over ? s.work : 0;
  }
  service->used = work / time;
  double came = 0, served = 0, in_time = 0;
  for (const auto& a : f.requests) {
    if (a.arrived < ramp || a.arrived >= ramp_over || a.orphaned) continue;
    ++came, served += a.succeeded, in_time += a.succeeded && a.ended_at <= a.objective_at;
  }
  service->served = served / came, service->in_time = in_time / came;
  service->full_at = carries_its_part(f, last_start, {cold.begin(), cold.end()},
                                      static_cast<EngineId>(f.process_of_engine.size()));
  return worst;
}

void hold(const Case& one, std::uint64_t seed) {
  Service service;
  const auto worst = play(one, seed, &service);
  std::printf(
      "%-40s %3u routers, burst %.0f: %.2f of the bound (all %.2f, calls %.2f); engines' use %.2f, served "
      "%.3f, "
      "in time %.3f, full part after %.1f s\n",
      one.name, one.routers, one.burst, worst.told, worst.all, worst.calls, service.used, service.served,
      service.in_time, service.full_at);
  EXPECT_LT(worst.told, 1) << one.name << ", " << one.routers << ", seed " << seed;
  EXPECT_LT(worst.all, 1) << one.name << ", " << one.routers << ", seed " << seed;
  EXPECT_GT(service.used, 0) << one.name << ", " << one.routers << ", seed " << seed;
}

TEST(ColdSum, AllDispatchersTogetherStayUnderWhatTheSettingsAllow) {
  const SlowStart first{0.3, 15 * kSecond, 3, 1'500'000}, second{0.3, 15 * kSecond, 4, 2 * kSecond};
  std::vector<Case> cases;
  for (const std::uint32_t n : {100u, 300u}) {
    cases.push_back({.name = "burst at its start", .routers = n, .busy = 0.9, .burst = 4});
    cases.push_back(
        {.name = "six in ten cold", .routers = n, .warm = 8, .starting = 12, .busy = 1.2, .burst = 2});
    cases.push_back({.name = "restarts twice", .routers = n, .busy = 0.9, .burst = 2, .starts = 3});
    cases.push_back(
        {.name = "dispatchers restart", .routers = n, .busy = 0.9, .burst = 4, .dispatchers_restart = true});
  }
  Case c{.name = "no burst"};
  cases.push_back(c);
  c = {.name = "restarts twice, had run before", .busy = 0.9, .burst = 2, .starts = 3, .starts_known = false};
  cases.push_back(c);
  c = {.name = "five classes", .busy = 0.9, .burst = 4};
  c.mean_ms = {60, 400, 2000, 1500, 300}, c.rates = {10, 3, 0.3, 1, 2};
  cases.push_back(c);
  c = {.name = "rare heavy class", .busy = 0.9, .burst = 4};
  c.mean_ms = {120, 900, 8000}, c.rates = {12, 2, 0.05};
  cases.push_back(c);
  cases.push_back({.name = "estimates at half", .busy = 0.9, .burst = 4, .estimates = 0.5});
  cases.push_back({.name = "no estimates", .busy = 0.9, .burst = 4, .estimates = 0});
  for (const double burst : {1.0, 4.0}) {
    cases.push_back({.name = "three dispatchers", .routers = 3, .cold = second, .busy = 0.9, .burst = burst});
    cases.push_back({.name = "three, restarting",
                     .routers = 3,
                     .cold = second,
                     .busy = 0.9,
                     .burst = burst,
                     .dispatchers_restart = true});
    cases.push_back({.name = "three, six in ten cold",
                     .routers = 3,
                     .cold = second,
                     .warm = 8,
                     .starting = 12,
                     .busy = 1.2,
                     .burst = burst});
    cases.push_back(
        {.name = "twenty dispatchers", .routers = 20, .cold = first, .busy = 0.9, .burst = burst});
  }
  for (const auto& one : cases) hold(one, 17);
}

using Change = void (*)(Case&);
struct Row {
  const char* name;
  std::vector<Change> changes;
  bool by_many = false;  // 300 dispatchers too
};

void hold_all(const std::vector<Row>& rows) {
  for (const auto& row : rows) {
    for (const std::uint32_t n : {3u, 20u, 30u, 300u}) {
      if (n == 300 && !row.by_many) continue;
      Case c{.name = row.name, .routers = n, .busy = 0.9, .burst = 4};
      for (const auto change : row.changes) change(c);
      hold(c, 17);
      if (n == 30) hold(c, 18);
    }
  }
}

void light(Case& c) { c.mean_ms = {40, 300, 900}, c.aims_ms = {200, 600, 1500}; }
void very_light(Case& c) { c.mean_ms = {10, 60, 100}, c.aims_ms = {60, 300, 600}; }
void refusing(Case& c) { c.most = 2; }
void anew(Case& c) { c.anew_at = 2 * kSecond, c.anew_within = 1, c.list_after = kSecond / 2; }
void anew_in_turn(Case& c) { anew(c), c.anew_within = 5 * kSecond; }
void few(Case& c) { c.warm = 1, c.busy = 1.5, c.anew_at = kSecond; }
void in_two(Case& c) { c.parts = 2; }
void six(Case& c) { c.starting = 6, c.busy = 1.2; }
void half(Case& c) { c.estimates = 0.5; }
void none(Case& c) { c.estimates = 0; }
void over_aim(Case& c) { c.aims_ms = {60, 300, 500}; }
void warm_last(Case& c) { c.warms_last = true; }

TEST(ColdSum, WithTrafficUnevenAndListsSeenSecondsApart) {
  hold_all({{"some carry seven times the mean", {[](Case& c) { c.busy_ones = 7; }}},
            {"one carries 45%", {[](Case& c) { c.one_has = 0.45; }}},
            {"one carries 45%, light work", {[](Case& c) { c.one_has = 0.45; }, light, refusing}},
            {"lists seconds apart", {[](Case& c) { c.spread = 6 * kSecond; }}, true},
            {"light work", {light}},
            {"refused at once", {refusing}},
            {"light work, refused at once", {light, refusing}},
            {"two processes each", {in_two}},
            {"two processes each, refused at once", {in_two, light, refusing}},
            {"six cold at once", {six}},
            {"replaced in steps", {six, [](Case& c) { c.steps = 1.5; }}}});
}

TEST(ColdSum, WhereDispatchersBeginAnewKnowingNothing) {
  hold_all({{"all begin anew", {anew}},
            {"all begin anew, light work", {light, anew}},
            {"all begin anew, refused at once", {light, refusing, anew}, true},
            {"begin anew, few engines, refused", {light, refusing, anew, few}},
            {"begin anew, very light work, refused", {very_light, refusing, anew, few}},
            {"begin anew in turn, refused at once", {light, refusing, anew_in_turn}},
            {"two processes each, begin anew, refused", {in_two, light, refusing, anew}}});
}

// What one sends within its first span adds to what its predecessor sent in the one before, whenever the list
// comes that tells of the cold engine: by the time it has gone, nobody knows of it any more.
TEST(ColdSum, OneThatBeginsAnewTakesItsPredecessorsPartAsSpent) {
  for (const Time told_after : {Time{0}, kSecond / 10, kSecond}) {
    Settings s = settings_of(Case{.name = "", .routers = 3});
    Router router(s);
    const Time began = 100 * kSecond, known_at = began + told_after, span = s.slow_start->overload_window;
    EngineList before, now;
    before.kind = EngineListKind::kCached;
    now.entries.emplace_back().name = "cold";
    now.entries[0].started_at = began - kSecond;
    std::vector<Time> sends;
    std::vector<Action> actions;
    RequestId id = 0;
    for (Time at = began; at < began + 2 * span; at += 20'000) {
      std::vector<Event> events;
      if (at == began) events.push_back(before);
      if (at == known_at) events.push_back(now);
      RequestArrived r;
      r.id = ++id, r.deadline = at + 3 * kSecond, r.work = 300'000;
      events.push_back(r);
      for (int turns = 0; turns < 100 && !events.empty(); ++turns) {  // answered at once
        actions.clear();
        router.handle(at, std::exchange(events, {}), actions);
        for (const auto& action : actions) {
          if (const auto* sent = std::get_if<Send>(&action)) {
            sends.push_back(at);
            AttemptEnded ended;
            ended.request = sent->request, ended.latency = 20'000, ended.completed = true;
            events.push_back(ended);
          }
        }
      }
    }
    ASSERT_FALSE(sends.empty()) << told_after;
    EXPECT_GE(sends.front(), began + span) << told_after;
    EXPECT_LE(sends.front(), began + span + kSecond / 10) << told_after;
  }
}

TEST(ColdSum, WhereEstimatesAreAtHalfOrNoneCome) {
  hold_all({{"light work, estimates at half", {light, half}},
            {"estimates at half, refused at once", {light, half, refusing}},
            {"begin anew, estimates at half", {light, half, anew}},
            {"light work, no estimates", {light, none}},
            {"no estimates, refused at once", {light, none, refusing}},
            {"begin anew, no estimates", {light, none, anew}},
            {"no estimates, work over its aim", {none, over_aim}},
            {"begin anew, no estimates, over its aim", {none, over_aim, anew}, true}});
}

TEST(ColdSum, WhereAColdEngineStaysAsItBeganUntilItIsWarm) {
  hold_all({{"warm at its end only", {warm_last}},
            {"warm at its end only, light work", {warm_last, light}},
            {"warm at its end only, refused at once", {warm_last, light, refusing}},
            {"warm at its end only, six", {warm_last, six}, true}});
}

// Where no estimate comes, one heavy query of a rare class whose mean is not learnt yet took the whole bound.
TEST(ColdSum, WhereNoEstimatesComeAndARareClassIsHeavy) {
  Case a{.name = "60 routers",
         .routers = 60,
         .cold = {0.32, 15'300'000, 2.9, 1'000'000},
         .warm = 9,
         .starting = 6};
  a.busy = 1.19, a.burst = 4.6, a.mean_ms = {87, 1243, 5733}, a.rates = {10, 0.6, 0.29};
  a.estimates = 0, a.starts_known = false;
  Case b{.name = "12 routers",
         .routers = 12,
         .cold = {0.16, 17'400'000, 4.3, 1'290'000},
         .warm = 10,
         .starting = 8};
  b.busy = 0.89, b.burst = 4, b.mean_ms = {113, 705, 4641}, b.rates = {10, 2.6, 0.22};
  b.estimates = 0;
  for (const auto& one : {a, b}) {
    double worst = 0;
    Service service;
    for (std::uint64_t seed : {49, 54, 1}) worst = std::max(worst, play(one, seed, &service).told);
    EXPECT_LT(worst, 1) << one.name;
  }
}

}  // namespace
}  // namespace rookproxy::routing
