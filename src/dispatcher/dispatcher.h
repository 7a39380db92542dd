// Connects frontends, engine connections and service discovery with the router: passes their events to the
// router and executes its actions. Independent of wire protocols. It makes no routing decisions, but enforces
// the rules on attempts, rejections and deadlines whatever the router decides.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatcher/active_settings.h"
#include "dispatcher/attempt_rules.h"
#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_registry.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/execution_claims.h"
#include "dispatcher/limits.h"
#include "dispatcher/metrics.h"
#include "dispatcher/request.h"
#include "dispatcher/request_log.h"
#include "dispatcher/request_table.h"
#include "dispatcher/routing_time.h"  // Used by callers that convert settings.
#include "dispatcher/shared_executions.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// The dispatcher of one process. Only the event loop's thread may use it. All objects passed by reference
// must outlive it.
class Dispatcher final : public EngineTransportCallbacks {
 public:
  // `zones` are the names of the settings' zones, by index. `memory` limits what the queries of open requests
  // hold; if it is null, they have no limit. Throws routing::InvalidSettings.
  Dispatcher(EventLoop& loop, Logger& log, Metrics& metrics, const routing::Settings& settings,
             std::vector<std::string> zones, DispatcherLimits limits,
             std::shared_ptr<policy::MemoryLedger> memory = nullptr);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Must be called before any other non-const function.
  void set_transport(EngineTransport& transport) {
    transport_ = &transport;
    engines_.set_transport(transport);
  }

  // Sets the claims shared with the other processes of this dispatcher; without them there are none. They
  // must outlive the dispatcher.
  void set_execution_claims(ExecutionClaims& claims) { executions_.set_claims(claims); }

  // ---- settings

  // Changes the settings. During a transition period, in which clients may still use the previous settings,
  // the stricter ones of both apply; afterwards only the new ones. Open requests keep the rules under which
  // they were submitted. Throws routing::InvalidSettings.
  void change_settings(const routing::Settings& settings, std::vector<std::string> zones,
                       DispatcherLimits limits);
  // Whether the transition period of the last change is not over yet.
  [[nodiscard]] bool in_settings_transition() const { return in_settings_transition_; }
  // Sets the number of processes that share the work of this dispatcher. The limit on the
  // load of an engine in slow start is divided among them.
  void set_process_count(std::size_t count);

  // Returns the index of a class, which is valid until the caller returns to the event loop, or longer while
  // a request of that class is open.
  [[nodiscard]] std::optional<routing::ClassIndex> find_class(std::string_view name) const {
    return settings_.find_class(name);
  }
  [[nodiscard]] const routing::ClassSettings& class_settings(routing::ClassIndex index) const {
    return settings_.class_settings(index);
  }
  // Whether the settings distinguish tenants.
  [[nodiscard]] bool has_tenants() const { return settings_.has_tenants(); }
  [[nodiscard]] std::optional<std::uint32_t> find_tenant(std::string_view name) const {
    return settings_.find_tenant(name);
  }

  // ---- frontends

  // Submits a request. The handler gets exactly one response, after this call has returned, unless the
  // request is cancelled before. `correlation_id` is passed to the handler with the response.
  RequestKey submit(const IncomingRequest& incoming, ResponseHandler& handler, std::uint64_t correlation_id);
  // Cancels a request whose client has disconnected. Its handler gets no response.
  void cancel_request(RequestKey key);
  // Counts a response that a frontend sent without submitting a request, if the class is known.
  void record_rejection(routing::ClassIndex class_index, ResponseStatus status, std::string_view tenant = "");
  // The retry delay for rejections due to overload, at most the default one.
  [[nodiscard]] Duration overload_retry_after() const {
    return std::min<Duration>(std::chrono::seconds(1), limits_.default_retry_after);
  }
  // The number of open requests, including those that were answered or cancelled while attempts are in
  // flight.
  [[nodiscard]] std::size_t open_request_count() const { return requests_.size(); }
  [[nodiscard]] Gauges gauges() const;

  // ---- service discovery

  // Replaces the endpoint list; engines that are not in it are removed. `is_cached`: the list was known
  // before the process started. `announced_at`: the earliest time at which its content may have been
  // announced; absent: now.
  void update_endpoints(const std::vector<EngineEndpoint>& endpoints, bool is_cached,
                        std::optional<Time> announced_at = std::nullopt);

  // ---- connections to engines

  bool may_start(AttemptKey key) override;
  void on_attempt_ended(AttemptKey key, AttemptResult result) override;
  void on_attempt_update(AttemptKey key, routing::AttemptUpdateKind kind, double amount) override;
  void on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) override;

  // Passes the queued events to the router and executes its actions. To be called at the end of each
  // iteration of the event loop.
  void process_events();

 private:
  void apply_settings(const routing::Settings& settings);

  [[nodiscard]] bool try_hold(Query& query) const;
  [[nodiscard]] std::optional<Response> find_refusal(Request& request);
  void respond_without_attempts(RequestKey key, const Response& response);
  void schedule_deadline(RequestKey key, Time deadline);
  void queue_arrival(RequestKey key, const IncomingRequest& incoming);

  void queue_event(routing::Event event) { events_.push_back(std::move(event)); }
  void release_ended(const std::vector<routing::Event>& events);

  // Each function executes one kind of action of the router.
  void execute(const routing::Send& action);
  void execute(const routing::SetExecutionOptions& action);
  void execute(const routing::Cancel& action);
  void execute(const routing::Reject& action);
  void execute(const routing::Fail& action);
  void execute(const routing::SetTimer& action);
  void execute(const routing::Probe& action);
  void execute(const routing::SubscribeEngineList& action);
  void execute(const routing::Log& action);

  AttemptKey add_attempt(const routing::Send& action, Request& request);
  void schedule_attempt_end(AttemptKey key, const Request& request, Time deadline);
  TimerId schedule_attempt_timeout(AttemptKey key, Time deadline);
  void time_out_attempt(AttemptKey key);
  bool cancel_unsent_attempt(AttemptKey key);
  void end_attempt(AttemptKey key, AttemptResult result);

  void finish(RequestKey key, Response response);
  void respond(RequestKey key, ResponseHandler& handler, std::uint64_t correlation_id, Response response);
  void release_if_done(RequestKey key);

  EventLoop& loop_;
  Logger& log_;
  Metrics& metrics_;
  DispatcherLimits limits_;
  std::shared_ptr<policy::MemoryLedger> memory_;
  routing::Router router_;
  EngineTransport* transport_ = nullptr;
  ActiveSettings settings_;
  TimerId settings_transition_timer_{};
  bool in_settings_transition_ = false;
  std::size_t process_count_ = 1;
  RequestTable requests_;
  EngineRegistry engines_{loop_, log_, settings_, limits_};
  AttemptRules attempt_rules_{settings_, engines_};
  RequestLog request_log_;
  SharedExecutions executions_;
  // The events since the last call of process_events().
  std::vector<routing::Event> events_;
  // A member so that its memory is reused.
  std::vector<routing::Action> actions_;
};

}  // namespace rookproxy
