// Carries out what has been decided for a request.
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

// The final response that the router itself gives to a request.
enum class FinalResponse { kReject, kFail };

// Writes the actions for a request and keeps the counts of its attempts with request, engine and limits.
// Decides nothing. Used by the Router's thread alone; the arguments of the constructor have to outlive it.
class RequestLifecycle {
 public:
  RequestLifecycle(RoutingState& state, RequestTable& requests, OrderedKeys& keys, ConcurrencyLimit& limit,
                   const SlowStartLimiter& slow_start)
      : state_(state), requests_(requests), keys_(keys), limit_(limit), slow_start_(slow_start) {}

  // Appends the request to the engine's queue.
  static void join_queue(Request& request, Engine& engine);
  // Removes the request from the queue that it is in, if any.
  static void leave_queue(Request& request);
  // Sends the request to the engine at this priority, with its grant of memory.
  void send(Request& request, Engine& engine, int priority);
  // Takes an attempt that has ended out of all counts.
  void end_attempt(Request& request, Attempt& attempt);
  // Takes an attempt that is presumed lost out of the limits.
  void presume_lost(Request& request, Attempt& attempt);
  // Cancels the attempt, unless it has been or engines can't.
  void cancel(Request& request, std::size_t attempt);
  // Gives the final response. The request has to be completed then.
  void respond(const Request& request, FinalResponse response);
  // Ends the request, whoever has responded, and cancels its attempts in flight if `cancel_attempts`.
  void complete(Request& request, bool cancel_attempts);

 private:
  RoutingState& state_;
  RequestTable& requests_;
  OrderedKeys& keys_;
  ConcurrencyLimit& limit_;
  const SlowStartLimiter& slow_start_;
};

}  // namespace rookproxy::routing
