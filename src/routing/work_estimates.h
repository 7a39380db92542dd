// Estimates of what requests take, learnt from responses.
#pragma once

#include "routing/concurrency_limit.h"
#include "routing/engine.h"
#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Learns the work, memory and latency of classes and the latency of engines.
// Used by the Router's thread alone; the arguments of the constructor have to outlive it.
class WorkEstimates {
 public:
  WorkEstimates(RoutingState& state, const ConcurrencyLimit& limit) : state_(state), limit_(limit) {}

  // What is assumed of a class before its first response.
  [[nodiscard]] static ClassState initial_state(const ClassSettings& settings);
  // Sets the work of a new request from its estimate, or from its class where it has none.
  void estimate(Request& request, const RequestArrived& arrived);
  // Learns from a response.
  //
  // Where nothing tells a class's work, the median of its latencies stands for the mean of its work: work is
  // skewed, its median under its mean by about as much as sharing an engine takes.
  void record_response(const Request& request, Engine& engine, const AttemptEnded& ended);
  // Learns the engine's relative latency, in microseconds, from an attempt that ended or was given up.
  // Returns the latency over the time that the request runs on an idle engine.
  double record_latency(const Request& request, Engine& engine, Time latency);
  // A grant of memory turned out too small.
  void record_spill(const Request& request);

 private:
  RoutingState& state_;
  const ConcurrencyLimit& limit_;
};

}  // namespace rookproxy::routing
