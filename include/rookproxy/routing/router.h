// The public interface of the decision module, whose decisions live in src/routing.
//
// A host creates one Router per dispatcher process and feeds it batches of events; the router appends the
// actions to carry out, in order. An instance is used by one thread at a time, and instances share nothing.
// All text and vectors are owned by value; nothing handed in needs to outlive the call. Times and durations
// are microseconds on the host's clock, which only moves forward.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace rookproxy::routing {

// A point in time, or a duration, in microseconds.
using Time = std::int64_t;
// Chosen by the host, and never reused in an instance's life.
using RequestId = std::uint64_t;
// Chosen by the host, dense from 0; the same engine keeps its id.
using EngineId = std::uint32_t;
// The index of a class in Settings::classes.
using ClassIndex = std::uint32_t;

// Whether a request that may have run may be sent again: always, within its scope and window, or never.
enum class Idempotency { kIdempotent, kKeyed, kNonIdempotent };

// For keyed requests: which engines drop a repeat. All of them, those of the same zone, or those of the same
// cell.
enum class IdempotencyScope { kAll, kZone, kCell };

// Whether the engine list comes by itself, or has to be subscribed to.
enum class EngineListMode { kPushed, kSubscribed };

// What an engine does when memory grants exceed its memory: queries wait, get less than granted, or all slow
// down.
enum class MemoryPressure { kWait, kShrink, kPage };

// A class of requests.
struct ClassSettings {
  std::string name;
  // What a response in time is worth against those of other classes.
  double priority_weight = 1;
  // A response within this, plus the next, has the full weight.
  Time latency_objective = 0;
  // The objective grows by this times the request's work over its threads.
  double latency_objective_per_work = 0;
  Time timeout = 0;
  // Share of the weight that a response has after the objective and before the deadline.
  double late_weight = 0;
  Idempotency idempotency = Idempotency::kIdempotent;
  // Keyed classes only. Absent: cell.
  std::optional<IdempotencyScope> idempotency_scope;
  // Keyed classes only: how long engines drop repeats. Absent: not at all.
  std::optional<Time> idempotency_window;
  // Requests of one key run one at a time.
  bool ordered = false;
  // Absent: all.
  std::optional<std::vector<std::uint32_t>> allowed_zones;
  // Indices of Settings::machine_types. Absent: all.
  std::optional<std::vector<std::uint32_t>> allowed_machine_types;
  // Threads that a request runs with on its engine.
  int threads = 1;
  // Its requests load the tables of a group, and hold the group on their engine while they run.
  bool is_load = false;
  // Its requests stand still while a load holds their group.
  bool waits_for_loads = false;
  // Absent: as Settings::max_attempts has it.
  std::optional<std::uint32_t> max_attempts;
  bool operator==(const ClassSettings&) const = default;
};

// A tenant, whose quota holds for all instances together.
struct TenantSettings {
  std::string name;
  // Requests per second; 0: without limit.
  double quota_per_second = 0;
  double share = 0;
};

// A type of machine that engines run on.
struct MachineTypeSettings {
  std::string name;
  std::optional<double> cores;
  std::optional<double> memory_mb;
};

// How engines that have just started must be spared.
struct SlowStart {
  // Share of its capacity that an engine starts with at least, above 0 and up to 1.
  double initial_share = 1;
  // By then at the latest it has its full capacity.
  Time warm_up_period = 0;
  // Sent more than this many times its present capacity ...
  double overload_factor = 1;
  // ... during this time, it fails.
  Time overload_window = 0;
};

// How many retries are allowed: a constant number and a share of the requests, both within the window.
struct RetryBudget {
  double min_retries = 0;
  double retry_ratio = 0;
  Time window = 0;
};

// All settings of a Router.
struct Settings {
  std::uint64_t seed = 0;
  // Dispatcher instances before the same engines, and the place of this one among them, from 0.
  std::uint32_t instance_count = 1;
  std::uint32_t instance_index = 0;
  // The zone of this instance, and the number of zones.
  std::uint32_t zone = 0;
  std::uint32_t zones = 1;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<MachineTypeSettings> machine_types;
  EngineListMode engine_list_mode = EngineListMode::kPushed;
  // Whether attempts can be cancelled, and engines probed.
  bool may_cancel = false;
  bool may_probe = false;
  // Whether engines report their load at all, in responses or to probes.
  bool reports_load = true;
  // Whether a second attempt may be sent while the first one runs.
  bool hedging = false;
  // Attempts of one request, the first included.
  std::uint32_t max_attempts = 1;
  // The longest advice that clients heed. Absent: none is passed on.
  std::optional<Time> max_retry_after;
  Time response_grace_period = 0;
  Time drain_grace_period = 0;
  std::optional<SlowStart> slow_start;
  // How long a key of an ordered class rests after an attempt that may still run.
  std::optional<Time> ordered_key_cooldown;
  std::optional<RetryBudget> retry_budget;
  // Whether engines heed the memory and the priority of SetExecutionOptions.
  bool memory_grants_supported = false;
  bool priorities_supported = false;
  // Share of an engine's memory that one query gets at most.
  std::optional<double> max_memory_grant_share;
  MemoryPressure memory_pressure = MemoryPressure::kWait;
  // How often engines send updates of an attempt. Absent: they send none.
  std::optional<Time> progress_interval;
  // Whether responses tell what the request cost.
  bool reports_cost = false;
  // Share of its weight that a request has beyond its tenant's quota.
  double over_quota_weight = 1;
  // Points of the goal that attempts outside the own zone, and probes, cost, each as a share of first
  // attempts.
  double cross_zone_cost = 0;
  double probe_cost = 0;
};

// ---- events ----

// Whether an engine takes new requests: yes, no more, or it is not there.
enum class EngineState { kServing, kDraining, kRemoved };

// An engine of the list.
struct EngineEntry {
  EngineId id = 0;
  // Hashed for ties, so that instances agree; has no other meaning.
  std::string name;
  // 0: long ago.
  Time started_at = 0;
  EngineState state = EngineState::kServing;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  double weight = 1;
  // Index of Settings::machine_types.
  std::uint32_t machine_type = 0;
};

// What an engine list is: remembered from before the start, all engines, those that changed, or a rejected
// subscription.
enum class EngineListKind { kCached, kSnapshot, kDelta, kRejected };

// The engine list, or changes of it.
struct EngineList {
  EngineListKind kind = EngineListKind::kSnapshot;
  std::vector<EngineEntry> entries;
};

// A client's request.
struct RequestArrived {
  RequestId id = 0;
  ClassIndex class_index = 0;
  // For ordered and keyed classes. 0: none.
  std::uint64_t key = 0;
  // The client does not wait any longer.
  Time deadline = 0;
  // The group of tables that it reads or loads.
  std::uint64_t group = 0;
  // Estimate, in microseconds of one thread.
  std::optional<double> work;
  // Estimate, in MB.
  std::optional<double> memory_mb;
  // Index of Settings::tenants.
  std::optional<std::uint32_t> tenant;
  // The client marked it as its own further try.
  bool is_client_retry = false;
};

// What an engine tells of its load.
struct LoadReport {
  // Queries that it has, running or not.
  std::optional<double> active_queries;
  std::optional<double> queries_waiting_for_memory;
  // Shares of what there is; granted memory may exceed 1.
  std::optional<double> cpu_utilization;
  std::optional<double> memory_utilization;
  std::optional<double> disk_utilization;
};

// How an attempt or a probe ended, and whether it may have run.
enum class Outcome {
  kServed,
  kError,           // may have run
  kRejected,        // never ran
  kNoResponse,      // may have run, may still run
  kConnectFailed,   // never ran
  kConnectionLost,  // may have run
  kCancelled,       // may have run
  kNotSent,         // never ran
};

// An attempt has ended.
struct AttemptEnded {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::kServed;
  Time latency = 0;
  // The request has had its final response.
  bool completed = false;
  // What it cost, in microseconds of one thread.
  std::optional<double> work;
  // What it needed, in MB.
  std::optional<double> memory_mb;
  std::optional<LoadReport> report;
};

// A streamed response has begun: the attempt belongs to the client from now on.
struct ResponseStarted {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

// What an update of an attempt is about.
enum class AttemptUpdateKind { kProgress, kSpilling, kWaitingForMemory, kWaitingForLoad };

// An engine tells of an attempt that it runs.
struct AttemptUpdate {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EngineId engine = 0;
  AttemptUpdateKind kind = AttemptUpdateKind::kProgress;
  // Progress: share done. Spilling: MB missing.
  double amount = 0;
};

// The request's client has left.
struct ClientDisconnected {
  RequestId request = 0;
};

// A timer set by SetTimer is due.
struct TimerFired {
  std::uint64_t token = 0;
};

// A probe has ended.
struct ProbeEnded {
  EngineId engine = 0;
  Outcome outcome = Outcome::kServed;
  Time latency = 0;
  std::optional<LoadReport> report;
};

// Something that happened.
using Event = std::variant<EngineList, RequestArrived, AttemptEnded, ResponseStarted, AttemptUpdate,
                           ClientDisconnected, TimerFired, ProbeEnded>;

// ---- actions ----

// Send the request to the engine. Attempts of a request are numbered 0, 1, 2 ... in the order of their sends.
struct Send {
  RequestId request = 0;
  EngineId engine = 0;
  // Absent: until the request's deadline.
  std::optional<Time> timeout;
};

// Use these for the request's next sends; the priority holds at once for its attempts in flight.
struct SetExecutionOptions {
  RequestId request = 0;
  // Absent: the engine chooses.
  std::optional<double> memory_mb;
  int priority = 1;
};

// Cancel an attempt in flight.
struct Cancel {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

// Final response: trying again is harmless.
struct Reject {
  RequestId request = 0;
  std::optional<Time> retry_after;
};

// Final response: promises nothing.
struct Fail {
  RequestId request = 0;
};

// Fire a timer with this token at this time.
struct SetTimer {
  Time at = 0;
  std::uint64_t token = 0;
};

// Ask the engine for its load.
struct Probe {
  EngineId engine = 0;
};

// Ask for the engine list and its changes from now on.
struct SubscribeEngineList {};

// Write a line to the log.
struct Log {
  std::string text;
};

// Something to do.
using Action =
    std::variant<Send, SetExecutionOptions, Cancel, Reject, Fail, SetTimer, Probe, SubscribeEngineList, Log>;

// Settings that contradict themselves; the message names the setting.
struct InvalidSettings : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

// Decides which engine runs which request, and when. Used by one thread at a time.
class Router {
 public:
  // Throws InvalidSettings.
  explicit Router(Settings settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  // Takes all that happened at `now` and appends what to do, in order.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
  // Uses other settings from now on. Indices of classes go on meaning the same classes; a class whose
  // settings differ takes over what is known of the class of its name. Averages, limits, health and open
  // requests are kept. Throws InvalidSettings, and then nothing has changed. An engine list should follow
  // where machine types or zones changed.
  void update_settings(Settings settings);
  // How many of the listed engines get no new requests now, or one at a time: draining, failing or
  // unreachable.
  [[nodiscard]] std::size_t avoided_engines(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rookproxy::routing
