// The state that the decision units share: settings, engines, classes and figures of the whole fleet.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/class_state.h"
#include "routing/engine.h"
#include "routing/exponential_average.h"
#include "routing/request.h"

namespace rookproxy::routing {

// Shared by all units of one Router, which owns it and changes it between their calls.
struct RoutingState {
  Settings settings;
  Time now = 0;  // of the batch of events being handled
  Time first_event_at = kNever;
  bool stalled = false;                    // the process was not scheduled before this batch
  Time stalled_at = -1;                    // the last batch of which that was so
  std::vector<Action>* actions = nullptr;  // where the batch's actions go, not owned
  std::map<EngineId, Engine> engines;
  std::vector<ClassState> classes;  // by ClassIndex
  double effective_instances = 1;   // instances with our traffic that would carry all of it
  double serving_engines = 1;
  double mean_cores = 1;  // of serving engines
  ExponentialAverage own_queries_per_engine{0.1};
  ExponentialAverage mean_threads{1};   // of a query, weighed by run time
  ExponentialAverage mean_run_time{0};  // microseconds

  // Begins a batch of events at the time `batch_time`, whose actions go to `batch_actions`. Returns whether
  // it is the first.
  [[nodiscard]] bool begin_batch(Time batch_time, std::vector<Action>& batch_actions) {
    now = batch_time;
    actions = &batch_actions;
    if (first_event_at != kNever) return false;
    first_event_at = batch_time;
    return true;
  }
  // Notes whether the process was not scheduled before this batch; nothing is learnt from what came
  // meanwhile.
  void set_stalled(bool process_stalled) {
    stalled = process_stalled;
    if (stalled) stalled_at = now;
  }
  // Takes over the number of serving engines, and the cores of all of them.
  void record_fleet(std::size_t engine_count, double cores) {
    serving_engines = static_cast<double>(engine_count);
    mean_cores = cores / serving_engines;
  }
  // Appends an action to those of the batch.
  template <class OneAction>
  void emit(OneAction action) const {
    actions->emplace_back(std::move(action));
  }
  [[nodiscard]] const ClassSettings& settings_of(const Request& request) const {
    return settings.classes[request.class_index];
  }
  [[nodiscard]] const ClassState& class_of(const Request& request) const {
    return classes[request.class_index];
  }
  [[nodiscard]] ClassState& class_of(const Request& request) { return classes[request.class_index]; }
  // The estimated time in microseconds that the request runs on an idle engine.
  [[nodiscard]] double run_time(const Request& request) const {
    return request.work / settings_of(request).threads;
  }
  // The memory in MB that the request is granted by its estimate; 0 where it has none and the engine chooses.
  [[nodiscard]] double memory_grant(const Request& request) const {
    return request.memory_mb ? *request.memory_mb * class_of(request).grant_factor : 0;
  }
};

}  // namespace rookproxy::routing
