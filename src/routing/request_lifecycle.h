// Execution of the decisions about requests.
#pragma once

#include <cstddef>

#include "routing/concurrency_limit.h"
#include "routing/engine.h"
#include "routing/ordered_keys.h"
#include "routing/request.h"
#include "routing/request_table.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace rookproxy::routing {

// The final response that the router gives to a request itself.
enum class FinalResponse { kReject, kFail };

// Emits the actions for requests and maintains the counts of attempts in requests, engines and limits. Makes
// no decisions. Used only by the Router's thread; the constructor's arguments must outlive it.
class RequestLifecycle {
 public:
  RequestLifecycle(RoutingState& state, RequestTable& requests, OrderedKeys& keys, ConcurrencyLimit& limit,
                   const SlowStartLimiter& slow_start)
      : state_(state), requests_(requests), keys_(keys), limit_(limit), slow_start_(slow_start) {}

  // Appends the request to the engine's queue.
  static void join_queue(Request& request, Engine& engine);
  // Removes the request from the queue that it is in, if any.
  static void leave_queue(Request& request);
  // Sends the request to the engine with this priority and its memory grant.
  void send(Request& request, Engine& engine, int priority);
  // Removes an attempt that has ended from all counts.
  void end_attempt(Request& request, Attempt& attempt);
  // Marks an attempt as presumed lost and removes it from the limits.
  void presume_lost(Request& request, Attempt& attempt);
  // Cancels the attempt, unless it has been cancelled already or engines do not support it.
  void cancel(Request& request, std::size_t attempt);
  // Emits the final response. The caller then has to complete the request.
  void respond(const Request& request, FinalResponse response);
  // Completes the request, whoever has responded, and cancels its attempts in flight if `cancel_attempts` is
  // set.
  void complete(Request& request, bool cancel_attempts);

 private:
  RoutingState& state_;
  RequestTable& requests_;
  OrderedKeys& keys_;
  ConcurrencyLimit& limit_;
  const SlowStartLimiter& slow_start_;
};

}  // namespace rookproxy::routing
