// State shared by the routing components: settings, engines, classes and statistics of the fleet.
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

// Shared by all components of one Router, which owns it and changes it between their calls.
struct RoutingState {
  Settings settings;
  // Time of the batch of events being handled.
  Time now = 0;
  Time first_event_at = kNever;
  // Whether the process was not scheduled for a while before this batch.
  bool stalled = false;
  // Time of the last batch that followed such a stall.
  Time stalled_at = -1;
  // Receives the batch's actions. Not owned.
  std::vector<Action>* actions = nullptr;
  std::map<EngineId, Engine> engines;
  // Indexed by ClassIndex.
  std::vector<ClassState> classes;
  // Total traffic divided by this instance's traffic.
  double effective_instances = 1;
  double serving_engines = 1;
  // Mean number of cores of the serving engines.
  double mean_cores = 1;
  ExponentialAverage own_queries_per_engine{0.1};
  // Mean threads of a query, weighted by run time.
  ExponentialAverage mean_threads{1};
  // Mean run time of a query, in microseconds.
  ExponentialAverage mean_run_time{0};

  // Begins a batch of events at `batch_time`, whose actions are appended to `batch_actions`. Returns whether
  // it is the first batch.
  [[nodiscard]] bool begin_batch(Time batch_time, std::vector<Action>& batch_actions) {
    now = batch_time;
    actions = &batch_actions;
    if (first_event_at != kNever) return false;
    first_event_at = batch_time;
    return true;
  }
  // Records whether the process was stalled before this batch. Nothing is learned from events that were
  // delayed by a stall.
  void set_stalled(bool process_stalled) {
    stalled = process_stalled;
    if (stalled) stalled_at = now;
  }
  // Records the number of serving engines and their total cores.
  void record_fleet(std::size_t engine_count, double cores) {
    serving_engines = static_cast<double>(engine_count);
    mean_cores = cores / serving_engines;
  }
  // Appends an action to those of the batch being handled.
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
  // Returns the estimated run time of the request on an idle engine, in microseconds.
  [[nodiscard]] double run_time(const Request& request) const {
    return request.work / settings_of(request).threads;
  }
  // Returns the memory grant of the request in MB, or 0 if it has no estimate and the engine chooses.
  [[nodiscard]] double memory_grant(const Request& request) const {
    return request.memory_mb ? *request.memory_mb * class_of(request).grant_factor : 0;
  }
};

}  // namespace rookproxy::routing
