// What the module keeps of requests, engines, classes and tenants: no decision.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing::state {

constexpr Time kNever = std::numeric_limits<Time>::max();

struct Engine;

struct Attempt {
  Engine* at = nullptr;  // kept while the attempt is out
  EngineId engine = 0;
  std::uint32_t zone = 0, cell = 0;
  Time sent = 0, heard = 0;  // heard: sent or last spoken of
  int level = 0;             // priority it was sent with
  double memory = 0;         // granted, MB
  bool out = true, cancelled = false, spilled = false;
  bool may_have_run = true;  // until an outcome proves the contrary
  bool waits = false;        // in the engine's line for memory, said once
  bool cold = false;         // its engine was cold: rationed there, not by the sum
  bool silent = false;       // taken for lost: no longer counted in the window
  bool doubted = false;      // ended in an error that may be the request's own fault
};

struct Request {
  RequestId id = 0;
  ClassIndex cls = 0;
  std::uint64_t key = 0, group = 0;
  Time arrived = 0, give_up_at = 0, aim_at = 0;
  std::optional<double> memory_mb;
  double work = 0, worth = 1;       // corrected estimate, microseconds of one thread
  double earns = 0;                 // worth per second of work, in octaves
  Time look_until = 0;              // probes are out for it
  Engine* queue = nullptr;          // where it waits
  EngineId home = 0;                // drawn for it
  bool over = false, told = false;  // told: its work was estimated
  int out = 0;
  std::vector<Attempt> attempts;
};

struct Group {  // what an engine has to do with one table group
  std::uint64_t name = 0;
  double mean = 0;
  int readers = 0, loads = 0;  // own attempts out
  Time held_until = 0;         // a load, perhaps another gateway's, was seen to hold it
};

struct Engine {
  EngineEntry told;
  bool known = false;
  std::uint64_t list = 0, hash = 0;  // the last list that named it; of its name
  double cores = 1, memory = 0;      // what it has; memory in MB, 0: not told
  double granted = 0;                // of it, to own attempts out
  std::vector<Group> groups;
  double norm2 = 0, sends = 0;  // squared length of the mean; sends since it was empty
  std::vector<Request*> queue;
  int running = 0, out = 0;             // own attempts out; with those taken for lost
  double threads[4] = {0, 0, 0, 0};     // of own attempts, by priority
  double open = 1;                      // its window's present share of the start
  double reported = 0, sent_since = 0;  // queries there by its last report; own sends since
  Time reported_at = kNever, asked_at = -1'000'000'000;
  double over = 1;      // memory granted there by that report, in times of what it has, where that slows all
  Time cold_since = 0;  // start, or the last time it did not answer; 0: long ago
  std::deque<std::pair<Time, double>> cold_sent;
  int failures = 0;  // in a row
  double bad = 0;    // share of late answers that were errors, recent ones most
  double pace = 1;   // latency over what the class usually takes
  Time shut_until = 0, paced_at = 0, lost_at = -1, served_at = -1;
};

template <class Groups>
auto find(Groups& groups, std::uint64_t name) {
  return std::find_if(groups.begin(), groups.end(), [name](auto& g) { return g.name == name; });
}
inline Group seen(const Engine& e, std::uint64_t name) {
  const auto found = find(e.groups, name);
  return found == e.groups.end() ? Group{} : *found;
}
inline Group& group(Engine& e, std::uint64_t name) {
  const auto found = find(e.groups, name);
  return found == e.groups.end() ? e.groups.emplace_back(Group{name}) : *found;
}

struct ClassState {
  double mean_work = 0, bias = 1;  // of one request, corrected; true work over estimate
  double stretch = 1.5;            // latency over work per thread
  double grant = 1;                // memory granted over the estimate
  double note_pace = 1;            // progress made per expected progress, from notes
  double timed = 0, took = 0;      // answers that tell of its work by their latency alone; their running mean
  Time patience = 0;               // of its clients, the longest of late
  double at_most() const { return std::max(mean_work, took); }  // the mean may be a guess still
};

struct Tenant {
  double saved = 0;  // queries
  Time at = 0;
  double seen = 0;  // lately
};

struct KeyLine {
  std::deque<Request*> line;
  Time rest_until = 0;
};

}  // namespace rookproxy::routing::state
