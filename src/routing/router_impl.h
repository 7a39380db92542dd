// The implementation of Router: passes events to the decision components and carries out their decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/admission.h"
#include "routing/affinity.h"
#include "routing/attempt_monitor.h"
#include "routing/concurrency_limit.h"
#include "routing/engine_selection.h"
#include "routing/load_reports.h"
#include "routing/ordered_keys.h"
#include "routing/outlier_detection.h"
#include "routing/quota.h"
#include "routing/request.h"
#include "routing/request_lifecycle.h"
#include "routing/request_table.h"
#include "routing/retry_policy.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"
#include "routing/tick_timer.h"
#include "routing/work_estimates.h"

namespace rookproxy::routing {

// Tokens of the router's timers.
constexpr std::uint64_t kTickToken = 1;
constexpr std::uint64_t kListRetryToken = 2;
// Added to a request's id for the timer of its deadline.
constexpr std::uint64_t kFirstRequestToken = 8;

// Owns the requests, the engines and the decision components. Used by one thread at a time.
class Router::Impl {
 public:
  explicit Impl(Settings settings);

  void update_settings(Settings settings);
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
  [[nodiscard]] std::size_t avoided_engines(Time now) const;

 private:
  // ---- events (router.cpp) ----
  void on(const EngineList& list);
  // Registers and queues a new request. A request that arrived during a stall of this process has waited
  // already; its arrival time is derived from the longest timeout of its class.
  void on(const RequestArrived& arrived);
  void on(const AttemptEnded& ended);
  void on(const ResponseStarted& started);
  // Handles an update of an attempt. A wait for memory lowers the aggregate limit unless engines support
  // memory grants, which are adjusted instead. A few engines that are short of memory can lower it for the
  // whole fleet.
  void on(const AttemptUpdate& update);
  void on(const ClientDisconnected& disconnected);
  void on(const TimerFired& timer);
  void on(const ProbeEnded& probe);

  // Applies changed settings to the components.
  void apply_settings();
  // Resets the state of an engine that has restarted.
  void restart_engine(Engine& engine);
  // Recomputes the statistics of the whole fleet.
  void update_fleet_statistics();
  // Performs the periodic work while requests are open.
  void tick();
  void record_report(Engine& engine, const std::optional<LoadReport>& report);
  // Updates estimates and limits after the end of an attempt. A missing response or a rejection lowers the
  // aggregate limit, also when only a few engines are unreachable; responses in time raise it again.
  void record_attempt_end(const Request& request, const Attempt& attempt, Outcome outcome);
  // Updates estimates and limits after a response. A late response to a request that was sent too late for
  // its objective does not lower the limits: the delay arose in this instance's queue, and lower limits would
  // keep the queue long.
  void record_success(Request& request, Engine& engine, const AttemptEnded& ended);
  void record_failure(Engine& engine, Outcome outcome);
  // Queues a request without attempts in flight again, or gives its final response.
  void requeue_or_finish(Request& request);
  // Records an error response. Engines also respond with an error to invalid requests. If the engine has
  // recently served others, the error is attributed to it only once another engine serves the request, and a
  // request that two such engines fail is not sent again. An engine that fails only requests which fail
  // everywhere is not detected.
  void record_error(Attempt& attempt, Engine& engine);
  // Attributes earlier errors of the request, which has now been served, to the engines that returned them.
  void attribute_earlier_errors(Request& request);
  // Handles an attempt that is blocked by a table load, while it keeps memory: cancels it if another engine
  // may run it.
  void avoid_table_load(Request& request, std::size_t attempt);
  // Cancels the last attempt of the request, to retry it, if its updates stopped or it is overdue.
  void check_missing_updates(Request& request);

  // ---- queues and sends (dispatch.cpp) ----
  // Adds the request to the queue of the best engine, or to the unplaced requests if there is none or it
  // waits for probes.
  void place(Request& request);
  // Sends requests until no more may start.
  void dispatch_queued();
  // Sends the request with the highest rank among all queues whose engine has capacity. Returns whether there
  // was one. Going through the engines one by one would give the capacity of the aggregate limit to the
  // engine with the lowest id.
  bool dispatch_best();
  // Steals work: sends the oldest request of the longest queue that some engine with capacity and an empty
  // queue may take to the best such engine. Returns whether there was one.
  bool steal_work();
  // Sends the request to the engine. A load does not change the engine's affinity, since its readers should
  // run elsewhere.
  void send(Request& request, Engine& engine);
  // Queues again all requests that wait for the engine.
  void requeue(Engine& engine);
  // Rejects the request if it can no longer be served in time.
  void shed_if_late(Request& request);
  // Gives the final response and completes the request. All final responses of the router are given here.
  void finish(Request& request, FinalResponse response);
  // Completes the request, whoever has responded, and cancels its attempts in flight, whose results nobody
  // needs. Attempts of non-idempotent requests run to their end, since a partial effect may be worse than a
  // complete one.
  void close(Request& request);
  // Cancels the attempt if another one may be sent instead.
  void cancel_for_retry(Request& request, std::size_t attempt);

  RoutingState state_;
  SlowStartLimiter slow_start_{state_};
  LoadReports reports_{state_};
  OutlierDetection outliers_{state_};
  ConcurrencyLimit limit_{state_, slow_start_, reports_, outliers_};
  Quota quota_{state_};
  RetryPolicy retries_{state_};
  OrderedKeys keys_{state_};
  WorkEstimates estimates_{state_, limit_};
  AttemptMonitor monitor_{state_};
  RequestTable requests_;
  RequestLifecycle lifecycle_{state_, requests_, keys_, limit_, slow_start_};
  Affinity affinity_{state_, slow_start_};
  Admission admission_{state_, limit_, slow_start_, retries_, keys_};
  EngineSelection selection_{state_, affinity_, reports_, limit_, outliers_, retries_, slow_start_};
  // Requests that wait for an engine or for probes.
  std::vector<RequestId> unplaced_;
  std::uint64_t list_version_ = 0;
  Time fleet_updated_at_ = 0;
  TickTimer tick_;
};

}  // namespace rookproxy::routing
