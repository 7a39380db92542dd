// The router behind the public interface: hands events to the decision units and carries out what they
// decide.
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

// What the tokens of the router's timers mean.
constexpr std::uint64_t kTickToken = 1;
constexpr std::uint64_t kListRetryToken = 2;
constexpr std::uint64_t kFirstRequestToken = 8;  // plus the request's id: its deadline

// Owns the requests, the engines and the decision units. Used by one thread at a time.
class Router::Impl {
 public:
  explicit Impl(Settings settings);

  void update_settings(Settings settings);
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
  [[nodiscard]] std::size_t avoided_engines(Time now) const;

 private:
  // ---- events (router.cpp) ----
  void on(const EngineList& list);
  // A request that came while this process stood still has waited already: as long as the longest timeout of
  // its class tells.
  void on(const RequestArrived& arrived);
  void on(const AttemptEnded& ended);
  void on(const ResponseStarted& started);
  // A wait for memory lowers the aggregate limit. Should also catch a fleet that has lost engines. Could harm
  // where a few engines alone are short. Where grants are ours they are what helps.
  void on(const AttemptUpdate& update);
  void on(const ClientDisconnected& disconnected);
  void on(const TimerFired& timer);
  void on(const ProbeEnded& probe);

  // Brings the units in line with settings that have changed.
  void apply_settings();
  // Forgets what the engine had and did before it started anew.
  void restart_engine(Engine& engine);
  // Recomputes the figures of the whole fleet.
  void update_fleet_figures();
  // What happens at intervals while requests are open.
  void tick();
  void record_report(Engine& engine, const std::optional<LoadReport>& report);
  // Learns from the end of an attempt that was not served. Should catch whatever makes engines give no
  // responses at all; could harm where a few are out of reach, until responses in time raise the limit again.
  void learn_from_end(const Request& request, const Attempt& attempt, Outcome outcome);
  // Learns from a response. What was sent too late for its objective tells of our own queue: narrowing for it
  // kept the queue long, the next late as well, and the aggregate limit at a third for good while a third of
  // the cores stood idle.
  void record_success(Request& request, Engine& engine, const AttemptEnded& ended);
  void record_failure(Engine& engine, Outcome outcome);
  // Places a request with no attempt in flight once more, or gives its final response.
  void continue_or_finish(Request& request);
  // Engines answer with an error also to what they can't use, from whoever sends it. One that has just served
  // others is blamed only once the request is served elsewhere; where two such engines fail it, it is not
  // sent again. Could harm where an engine fails some requests only, and those fail everywhere: then it is
  // not found out.
  void record_error(Attempt& attempt, Engine& engine);
  // The request was served: engines that failed it before were at fault.
  void attribute_earlier_errors(Request& request);
  // A table load stops the attempt before it has done anything, while it keeps memory.
  void avoid_table_load(Request& request, std::size_t attempt);
  void check_silence(Request& request);

  // ---- queues and sends (dispatch.cpp) ----
  // Puts the request into the queue of the best engine, or among the unplaced.
  void place(Request& request);
  // Sends what may start, until nothing more may.
  void dispatch_queued();
  // Sends the best request over all queues, wherever an engine has room; returns whether there was one. Where
  // the aggregate limit is what binds, engine by engine would give its room to the engine with the lowest id.
  bool dispatch_best();
  // Work stealing: sends the oldest request of the longest queue that an engine with room and no queue may
  // take, to the best such engine; returns whether there was one.
  bool steal_work();
  // A load's engine is not preferred for its readers, so it does not move the engine's affinity.
  void send(Request& request, Engine& engine);
  // Places anew what waits for the engine.
  void requeue(Engine& engine);
  // Rejects the request if it can no longer be served in time.
  void shed_if_late(Request& request);
  // Gives the final response; the one place that does.
  void finish(Request& request, FinalResponse response);
  // Ends the request, whoever has responded. Nobody waits for what is still in flight, also when the client
  // left by itself: it only slows others. A non-idempotent attempt is let run to its end, since half an
  // effect may be worse than a whole one.
  void close(Request& request);
  // Cancels the attempt if another one may be sent in its place.
  void cancel_for_another(Request& request, std::size_t attempt);

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
  std::vector<RequestId> unplaced_;  // wait for an engine or for probes
  std::uint64_t list_version_ = 0;
  Time fleet_updated_at_ = 0;
  TickTimer tick_;
};

}  // namespace rookproxy::routing
