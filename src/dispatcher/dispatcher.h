// Joins frontends, connections to engines and service discovery with the decision module: events go into the
// module, and its actions are carried out. Knows no wire protocol and decides nothing itself, except that the
// rules on attempts, rejections and deadlines hold whatever the module decides.
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
#include "dispatcher/limits.h"
#include "dispatcher/metrics.h"
#include "dispatcher/request.h"
#include "dispatcher/request_log.h"
#include "dispatcher/request_table.h"
#include "dispatcher/routing_time.h"  // for the callers that convert settings
#include "log/log.h"
#include "net/event_loop.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// The dispatcher of one process. It is used by the event loop's thread alone, and everything it is given by
// reference must outlive it.
class Dispatcher final : public EngineTransportCallbacks {
 public:
  // `zones` are the names of the settings' zones, by index. Throws routing::InvalidSettings.
  Dispatcher(EventLoop& loop, Logger& log, Metrics& metrics, const routing::Settings& settings,
             std::vector<std::string> zones, DispatcherLimits limits);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Must be called before any other function that is not const.
  void set_transport(EngineTransport& transport) {
    transport_ = &transport;
    engines_.set_transport(transport);
  }

  // ---- settings

  // Applies other settings: first the stricter of both, then the new ones alone once all clients use them.
  // Requests that are open keep the rules under which they came. Throws routing::InvalidSettings.
  void change_settings(const routing::Settings& settings, std::vector<std::string> zones,
                       DispatcherLimits limits);
  // Whether clients may still use settings that were in force before the last change.
  [[nodiscard]] bool in_settings_transition() const { return in_settings_transition_; }
  // Tells how many processes share this dispatcher's work: each has its part of the buffered bytes and of
  // what an engine in slow start may be sent.
  void set_process_count(std::size_t count);

  // An index is valid until the caller returns to the event loop, or as long as a request of it is open.
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

  // Takes a request. The handler gets exactly one response, not within this call, unless it cancels before.
  RequestKey submit(const IncomingRequest& incoming, ResponseHandler& handler, std::uint64_t correlation_id);
  // The client disconnected: its handler gets no response.
  void cancel_request(RequestKey key);
  // Counts a response that a frontend gave to what never became a request, but whose class is known.
  void record_rejection(routing::ClassIndex class_index, ResponseStatus status, std::string_view tenant = "");
  // The delay for rejections due to overload: no longer than clients are ready to wait.
  [[nodiscard]] Duration overload_retry_after() const {
    return std::min<Duration>(std::chrono::seconds(1), limits_.default_retry_after);
  }
  // Includes requests that have their response, or whose clients disconnected, while attempts still run.
  [[nodiscard]] std::size_t open_request_count() const { return requests_.size(); }
  [[nodiscard]] Gauges gauges() const;

  // ---- service discovery

  // Takes the endpoint list; engines that are not on it are removed. `is_cached`: it was known before the
  // process started. `announced_at`: since when its content may count as announced; absent: now.
  void update_endpoints(const std::vector<EngineEndpoint>& endpoints, bool is_cached,
                        std::optional<Time> announced_at = std::nullopt);

  // ---- connections to engines

  bool may_start(AttemptKey key) override;
  void on_attempt_ended(AttemptKey key, AttemptResult result) override;
  void on_attempt_update(AttemptKey key, routing::AttemptUpdateKind kind, double amount) override;
  void on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) override;

  // Hands the events that have come in to the decision module and carries out its actions. To be called at
  // the end of each iteration of the event loop.
  void process_events();

 private:
  void apply_settings(const routing::Settings& settings);

  [[nodiscard]] bool is_overloaded(std::size_t additional_bytes) const;
  void reject_overloaded(RequestKey key);
  void schedule_deadline(RequestKey key, Time deadline);
  void queue_arrival(RequestKey key, const IncomingRequest& incoming);

  void queue_event(routing::Event event) { events_.push_back(std::move(event)); }
  void release_ended(const std::vector<routing::Event>& events);

  // Each carries out one action of the decision module.
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
  TimerId time_out_attempt_at(AttemptKey key, Time deadline);
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
  // What has come in since process_events() was called last.
  std::vector<routing::Event> events_;
  // Kept between calls for its memory alone.
  std::vector<routing::Action> actions_;
};

}  // namespace rookproxy
