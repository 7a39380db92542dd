// A router that is driven by scripted events, and functions that create settings and events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

constexpr Time kSecond = 1'000'000;

inline Settings basic_settings() {
  Settings s;
  s.max_attempts = 6;
  s.max_retry_after = kSecond;
  s.may_cancel = true;
  s.machine_types = {{"k0", 8.0, 16384.0}, {"k1", 8.0, 16384.0}};
  s.zones = 2;
  ClassSettings c;
  c.name = "c";
  c.latency_objective = 10 * kSecond;
  c.timeout = 20 * kSecond;
  s.classes = {c};
  return s;
}

inline EngineEntry engine(EngineId id) {
  EngineEntry e;
  e.id = id;
  e.name = "engine-" + std::to_string(id);
  return e;
}

inline RequestArrived query(RequestId id, std::uint64_t group = 0, double work = 100'000) {
  RequestArrived r;
  r.id = id;
  r.deadline = 20 * kSecond;
  r.group = group;
  r.work = work;
  return r;
}

inline AttemptEnded ended(RequestId id, std::uint32_t attempt, EngineId at, Outcome outcome) {
  AttemptEnded e;
  e.request = id;
  e.attempt = attempt;
  e.engine = at;
  e.outcome = outcome;
  e.latency = 100'000;
  e.completed = outcome == Outcome::kServed;
  return e;
}

// Drives a Router with scripted events and records its actions.
class Script {
 public:
  explicit Script(Settings s) : router_(std::move(s)) {}

  // Passes the events to the router and stores the resulting actions.
  void at(Time now, std::vector<Event> events) {
    actions.clear();
    router_.handle(now, events, actions);
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<Send>(&a)) all_sends.push_back(*s);
    }
  }
  // Fires the router's periodic timer every 20 ms from `from` to `until` and collects the actions.
  void wait(Time from, Time until) {
    std::vector<Action> seen;
    for (Time t = from; t <= until; t += 20'000) {
      at(t, {TimerFired{1}});
      seen.insert(seen.end(), actions.begin(), actions.end());
    }
    actions = seen;
  }
  void list(Time now, std::initializer_list<EngineEntry> entries,
            EngineListKind kind = EngineListKind::kSnapshot) {
    at(now, {EngineList{kind, entries}});
  }
  template <class A>
  std::vector<A> all() const {
    std::vector<A> found;
    for (const auto& a : actions) {
      if (const auto* one = std::get_if<A>(&a)) found.push_back(*one);
    }
    return found;
  }
  std::vector<Send> sends() const { return all<Send>(); }
  Router& router() { return router_; }
  std::size_t final_responses() const { return all<Reject>().size() + all<Fail>().size(); }

  std::vector<Action> actions;
  std::vector<Send> all_sends;

 private:
  Router router_;
};

inline Settings with_slow_start() {
  auto settings = basic_settings();
  settings.slow_start = SlowStart{0.35, 15 * kSecond, 2.0, kSecond};
  return settings;
}

// Returns the settings of one of `count` dispatcher instances.
inline Settings instance_settings(std::uint32_t count, std::uint32_t index = 0) {
  auto s = basic_settings();
  s.instance_count = count;
  s.instance_index = index;
  return s;
}

inline std::vector<EngineEntry> fleet(EngineId n, Time started = 0) {
  std::vector<EngineEntry> all;
  for (EngineId i = 0; i < n; ++i) {
    all.push_back(engine(i));
    all.back().started_at = started;
  }
  return all;
}

}  // namespace rookproxy::routing
