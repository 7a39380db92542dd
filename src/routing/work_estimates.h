// Estimates of the work, memory and latency of requests, learned from responses.
#pragma once

#include "routing/concurrency_limit.h"
#include "routing/engine.h"
#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Learns the work, memory and latency of classes and the latency of engines. Used only by the Router's
// thread; the constructor's arguments must outlive it.
class WorkEstimates {
 public:
  WorkEstimates(RoutingState& state, const ConcurrencyLimit& limit) : state_(state), limit_(limit) {}

  // Returns the state that a class has before its first response.
  [[nodiscard]] static ClassState initial_state(const ClassSettings& settings);
  // Sets the work of a new request from its estimate or, without one, from its class.
  void estimate(Request& request, const RequestArrived& arrived);
  // Updates the estimates from a response.
  //
  // If neither estimates nor costs are known, the median latency of the class stands for its mean work: work
  // is skewed, so its median lies below its mean by about as much as sharing an engine adds.
  void record_response(const Request& request, Engine& engine, const AttemptEnded& ended);
  // Updates the engine's relative latency from the latency, in microseconds, of an attempt that ended or was
  // abandoned. Returns the ratio of the latency to the run time on an idle engine.
  double record_latency(const Request& request, Engine& engine, Time latency);
  // Records that a memory grant was too small.
  void record_spill(const Request& request);

 private:
  RoutingState& state_;
  const ConcurrencyLimit& limit_;
};

}  // namespace rookproxy::routing
