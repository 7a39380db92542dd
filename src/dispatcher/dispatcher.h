// Requests, attempts and outcomes. Feeds the decision module and carries out what it says; knows no wire and
// takes no decision of its own, but for mechanical guards that keep the rules whatever the module says.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatcher/figures.h"
#include "dispatcher/interfaces.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "policy/attempt_guard.h"

namespace rookproxy {

struct DispatcherLimits {
  std::size_t max_buffered_bytes =
      32u << 20;  // of statements and results, over which new requests are refused at once
  std::size_t max_unanswered_requests = 20'000;
  // Answers go out this long before the client gives up, to be there in time.
  Duration response_margin = std::chrono::milliseconds(8);
  // Work stops going to an engine this long before the drain's grace ends (decide/drains.h).
  Duration drain_margin = std::chrono::milliseconds(250);
  Duration cancel_report_delay =
      std::chrono::milliseconds(5);  // the simulator's time between two batches, where settings tell it
  // Told with a refusal where the module gives no advice.
  Duration default_retry_after = std::chrono::seconds(1);
  // After a change clients go by the new settings at the latest this much later, with room to spare.
  Duration settings_transition_time = std::chrono::milliseconds(2000);
};

class Dispatcher final : public EngineTransportCallbacks {
 public:
  Dispatcher(EventLoop& loop, Logger& log, Metrics& figures, const routing::Settings& settings,
             std::vector<std::string> zones, DispatcherLimits limits);

  void set_transport(EngineTransport& links) { transport_ = &links; }
  // What a refusal for lack of room here tells: no longer than clients are ready to stay away.
  Duration overload_retry_after() const {
    return std::min<Duration>(std::chrono::seconds(1), limits_.default_retry_after);
  }
  // The rules of a class; its index is good until the caller returns to the loop, or as long as a request of
  // it is open.
  const routing::ClassSettings& class_settings(routing::ClassIndex cls) const {
    return active_settings_.classes[cls];
  }
  std::optional<routing::ClassIndex> find_class(std::string_view name) const;
  // Whether the settings tell tenants apart, and know this one.
  bool has_tenants() const { return !tenant_index_by_name_.empty(); }
  std::optional<std::uint32_t> find_tenant(std::string_view name) const;
  // Clients may still go by settings that were in force before the last change.
  bool in_settings_transition() const { return in_settings_transition_; }
  // Other settings from now on: the stricter of both at once, the new ones alone once clients go by them.
  // What is open keeps the rules under which it came.
  void change_settings(const routing::Settings& fresh, std::vector<std::string> zones,
                       DispatcherLimits limits);

  // ---- from fronts. Each accepted request gets exactly one on_answer, unless its asker takes it back first.
  RequestKey submit(const IncomingRequest& arrival, ResponseHandler& asker, std::uint64_t ticket);
  void cancel_request(RequestKey key);
  // Also those that are answered, or left by their clients, and still run: stopping would cut a load in half.
  std::size_t open_request_count() const { return requests_.size(); }
  // A front has answered by itself what never became a request; its class is known.
  void record_rejection(routing::ClassIndex cls, ResponseStatus verdict, std::string_view tenant = "");
  Gauges gauges() const;
  // So many processes stand in for this dispatcher now: each has its part of what may be held and of what an
  // engine that has just started may be sent.
  void set_process_count(std::size_t parts);

  // ---- from a directory
  // `told`: since when its news may count as told; now, if nothing is said.
  void update_endpoints(const std::vector<EngineEndpoint>& members, bool remembered,
                        std::optional<Time> told = std::nullopt);

  // ---- from links
  bool may_start(AttemptKey key) override;
  void on_attempt_ended(AttemptKey key, AttemptResult end) override;
  void on_attempt_note(AttemptKey key, routing::AttemptUpdateKind kind, double amount) override;
  void on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) override;

  // Hands the module what has come in and carries out its answer; once a turn.
  void process_events();

 private:
  struct Attempt {
    EngineId engine = 0;
    std::string zone_name;  // the engine's when it was sent: names, as settings may number zones anew
    std::uint32_t cell = 0;
    Time sent_at;
    bool in_flight = true, may_have_run = true;
    TimerId timer{};
  };
  struct Request {
    IncomingRequest incoming;
    ResponseHandler* handler = nullptr;
    std::uint64_t ticket = 0;
    bool is_completed = false;
    int attempts_in_flight = 0;
    int priority = 1;
    std::optional<double> memory_grant_mb;
    std::vector<Attempt> attempts;
    TimerId deadline_timer{};
    std::size_t buffered_bytes = 0;
    std::string last_error;
  };
  struct Engine {
    EngineEndpoint endpoint;
    Time closing_since{};  // when we were told that it drains or is gone
    std::optional<Time> probe_sent;
  };

  void apply_settings(const routing::Settings& fresh);
  routing::EngineEntry engine_entry(EngineId id) const;
  void start_drain(EngineId id, Time told);
  void schedule_drain_end(EngineId id);
  Time latest_drain_start(Time told) const;
  void queue_event(routing::Event event);
  void execute(const routing::Action& action);
  void start_attempt(const routing::Send& send);
  policy::RetryRule retry_rule(const Request& request) const;
  policy::AttemptGuard attempt_guard(const Request& request, EngineId engine, std::size_t number) const;
  std::optional<policy::BlockReason> attempt_violation(const Request* request,
                                                       const routing::Send& send) const;
  Time accepts_work_until(const Engine& engine) const;
  bool cancel_unsent_attempt(RequestKey key, std::uint32_t number);
  void end_attempt(RequestKey key, std::uint32_t number, AttemptResult end);
  void time_out_attempt(RequestKey key, std::uint32_t number, Outcome outcome);
  void cancel_attempt(RequestKey key, std::uint32_t number);
  void finish(RequestKey key, Response answer);
  void release_if_done(RequestKey key);
  void record_response(routing::ClassIndex cls, ResponseStatus verdict, std::string_view tenant);
  Attempt* find_attempt(AttemptKey key);

  EventLoop& loop_;
  Logger& log_;
  Metrics& metrics_;
  routing::Settings configured_settings_;  // as last bound, classes as the operator names them
  routing::Settings active_settings_;  // the same with the classes by which open requests go on: never moved
  std::vector<std::size_t> requests_by_class_;  // of each such class, requests
  std::map<std::string, routing::ClassIndex, std::less<>> class_index_by_name_;
  std::map<std::string, std::uint32_t, std::less<>> tenant_index_by_name_;
  TimerId settings_transition_timer_{};
  bool in_settings_transition_ = false;
  std::vector<std::string> zones_;
  DispatcherLimits limits_;
  routing::Router router_;
  EngineTransport* transport_ = nullptr;
  SlotMap<Request> requests_;
  std::size_t unanswered_requests_ = 0, buffered_bytes_ = 0, process_count_ = 1;
  std::unordered_map<std::string, EngineId> engine_ids_;
  std::vector<Engine> engines_;
  std::vector<routing::Event> events_;
  std::vector<routing::Action> actions_;
};

}  // namespace rookproxy
