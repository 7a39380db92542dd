// Public interface of the routing module, which is implemented in src/routing.
//
// A host creates one Router per dispatcher process and passes it batches of events; the router appends the
// actions to carry out, in order. A Router may be used by one thread at a time, and Routers share no state.
// Text and vectors are owned by value; nothing passed in has to outlive the call. Times and durations are in
// microseconds on the host's clock, which must be monotonic.
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
// Identifies a request. Chosen by the host and never reused during the lifetime of a Router.
using RequestId = std::uint64_t;
// Identifies an engine. Chosen by the host, dense from 0, and stable for the same engine.
using EngineId = std::uint32_t;
// The index of a class in Settings::classes.
using ClassIndex = std::uint32_t;

// Whether a request that may have run can be retried: always (kIdempotent), only within its scope and window
// (kKeyed), or never (kNonIdempotent).
enum class Idempotency { kIdempotent, kKeyed, kNonIdempotent };

// For keyed requests: the engines that detect a duplicate. All engines, those of the same zone, or those of
// the same cell.
enum class IdempotencyScope { kAll, kZone, kCell };

// How the router receives the engine list: without asking for it, or after a subscription.
enum class EngineListMode { kPushed, kSubscribed };

// What an engine does when memory grants exceed its memory: queries wait (kWait), get less than granted
// (kShrink), or all run slower because the engine pages (kPage).
enum class MemoryPressure { kWait, kShrink, kPage };

// A class of requests.
struct ClassSettings {
  std::string name;
  // Value of a response within the latency objective, relative to other classes.
  double priority_weight = 1;
  // Base of the latency objective; responses within the objective earn the full weight.
  Time latency_objective = 0;
  // Microseconds added to the objective per microsecond of the request's work divided by its threads.
  double latency_objective_per_work = 0;
  Time timeout = 0;
  // Fraction of the weight that a response earns between its objective and its deadline.
  double late_weight = 0;
  Idempotency idempotency = Idempotency::kIdempotent;
  // For keyed classes only. Absent: kCell.
  std::optional<IdempotencyScope> idempotency_scope;
  // For keyed classes only: how long engines remember a request to detect duplicates. Absent: they do not.
  std::optional<Time> idempotency_window;
  // Requests with the same key run one at a time.
  bool ordered = false;
  // Absent: all.
  std::optional<std::vector<std::uint32_t>> allowed_zones;
  // Indices of Settings::machine_types. Absent: all.
  std::optional<std::vector<std::uint32_t>> allowed_machine_types;
  // Number of threads that a request uses on its engine.
  int threads = 1;
  // Requests of this class load the tables of a group and lock the group on their engine while they run.
  bool is_load = false;
  // Requests of this class are blocked while a load locks their group.
  bool waits_for_loads = false;
  // Absent: Settings::max_attempts applies.
  std::optional<std::uint32_t> max_attempts;
  bool operator==(const ClassSettings&) const = default;
};

// A tenant. Its quota applies to all instances together.
struct TenantSettings {
  std::string name;
  // Requests per second. 0: unlimited.
  double quota_per_second = 0;
  double share = 0;
};

// A type of machine that engines run on.
struct MachineTypeSettings {
  std::string name;
  std::optional<double> cores;
  std::optional<double> memory_mb;
};

// Limits on the load of engines that have just started.
struct SlowStart {
  // Minimum fraction of its capacity that an engine has when it starts, above 0 and up to 1.
  double initial_share = 1;
  // Time after its start by which an engine has its full capacity.
  Time warm_up_period = 0;
  // An engine fails if it is sent more than this multiple of its current capacity within overload_window.
  double overload_factor = 1;
  // Period over which overload_factor applies.
  Time overload_window = 0;
};

// Number of retries allowed per window: a constant plus a fraction of the requests in that window.
struct RetryBudget {
  double min_retries = 0;
  double retry_ratio = 0;
  Time window = 0;
};

// All settings of a Router.
struct Settings {
  std::uint64_t seed = 0;
  // Number of dispatcher instances that use the same engines, and the index of this one, from 0.
  std::uint32_t instance_count = 1;
  std::uint32_t instance_index = 0;
  // Index of this instance's zone, and the number of zones.
  std::uint32_t zone = 0;
  std::uint32_t zones = 1;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<MachineTypeSettings> machine_types;
  EngineListMode engine_list_mode = EngineListMode::kPushed;
  // Whether engines support cancelling attempts and answering probes.
  bool may_cancel = false;
  bool may_probe = false;
  // Whether engines report their load, in responses or to probes.
  bool reports_load = true;
  // Whether a second attempt may be sent while the first one is in flight.
  bool hedging = false;
  // Maximum number of attempts of a request, including the first.
  std::uint32_t max_attempts = 1;
  // Longest retry-after time that clients honour. Absent: none is sent to them.
  std::optional<Time> max_retry_after;
  Time response_grace_period = 0;
  Time drain_grace_period = 0;
  std::optional<SlowStart> slow_start;
  // How long the next request of a key of an ordered class is held back after an attempt that may still run.
  std::optional<Time> ordered_key_cooldown;
  std::optional<RetryBudget> retry_budget;
  // Whether engines support the memory grant and the priority of SetExecutionOptions.
  bool memory_grants_supported = false;
  bool priorities_supported = false;
  // Maximum fraction of an engine's memory that one query is granted.
  std::optional<double> max_memory_grant_share;
  MemoryPressure memory_pressure = MemoryPressure::kWait;
  // Interval at which engines send progress updates of an attempt. Absent: they send none.
  std::optional<Time> progress_interval;
  // Whether responses report the work that the request took.
  bool reports_cost = false;
  // Fraction of its weight that a request beyond its tenant's quota keeps.
  double over_quota_weight = 1;
  // Costs of attempts outside this instance's zone and of probes, each relative to the number of first
  // attempts.
  double cross_zone_cost = 0;
  double probe_cost = 0;
};

// ---- events ----

// Whether an engine accepts new requests (kServing), accepts none (kDraining), or no longer exists
// (kRemoved).
enum class EngineState { kServing, kDraining, kRemoved };

// One engine of an engine list.
struct EngineEntry {
  EngineId id = 0;
  // Hashed for choices that all instances have to make alike. Has no other meaning.
  std::string name;
  // Start time of the engine's process. 0: long ago.
  Time started_at = 0;
  EngineState state = EngineState::kServing;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  double weight = 1;
  // Index of Settings::machine_types.
  std::uint32_t machine_type = 0;
};

// What an engine list contains: the engines stored before a restart (kCached), all engines (kSnapshot), only
// those that changed (kDelta), or none because the subscription was rejected (kRejected).
enum class EngineListKind { kCached, kSnapshot, kDelta, kRejected };

// The engine list, or changes to it.
struct EngineList {
  EngineListKind kind = EngineListKind::kSnapshot;
  std::vector<EngineEntry> entries;
};

// A client's request.
struct RequestArrived {
  RequestId id = 0;
  ClassIndex class_index = 0;
  // Key for ordered and keyed classes. 0: none.
  std::uint64_t key = 0;
  // Time after which the client no longer waits.
  Time deadline = 0;
  // Group of tables that the request reads or loads.
  std::uint64_t group = 0;
  // Estimated work, in microseconds of one thread.
  std::optional<double> work;
  // Estimated memory, in MB.
  std::optional<double> memory_mb;
  // Index of Settings::tenants.
  std::optional<std::uint32_t> tenant;
  // Whether the client marked it as a retry of its own.
  bool is_client_retry = false;
};

// Load that an engine reports.
struct LoadReport {
  // Queries on the engine, running or waiting.
  std::optional<double> active_queries;
  std::optional<double> queries_waiting_for_memory;
  // Utilization as a fraction of the resource; granted memory may exceed 1.
  std::optional<double> cpu_utilization;
  std::optional<double> memory_utilization;
  std::optional<double> disk_utilization;
};

// How an attempt or a probe ended, and whether the engine may have run it.
enum class Outcome {
  kServed,
  kError,           // May have run.
  kRejected,        // Never ran.
  kNoResponse,      // May have run and may still be running.
  kConnectFailed,   // Never ran.
  kConnectionLost,  // May have run.
  kCancelled,       // May have run.
  kNotSent,         // Never ran.
};

// The end of an attempt.
struct AttemptEnded {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::kServed;
  Time latency = 0;
  // Whether the client has received its final response.
  bool completed = false;
  // Work that the attempt took, in microseconds of one thread.
  std::optional<double> work;
  // Memory that the attempt needed, in MB.
  std::optional<double> memory_mb;
  std::optional<LoadReport> report;
};

// The first part of a streamed response has reached the client; the attempt must no longer be cancelled.
struct ResponseStarted {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

// The content of an attempt's update.
enum class AttemptUpdateKind { kProgress, kSpilling, kWaitingForMemory, kWaitingForLoad };

// An engine's update about an attempt that it runs.
struct AttemptUpdate {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EngineId engine = 0;
  AttemptUpdateKind kind = AttemptUpdateKind::kProgress;
  // For kProgress, the fraction done. For kSpilling, the missing memory in MB.
  double amount = 0;
};

// The request's client has disconnected.
struct ClientDisconnected {
  RequestId request = 0;
};

// A timer set by SetTimer has expired.
struct TimerFired {
  std::uint64_t token = 0;
};

// The end of a probe.
struct ProbeEnded {
  EngineId engine = 0;
  Outcome outcome = Outcome::kServed;
  Time latency = 0;
  std::optional<LoadReport> report;
};

// Any input to the router.
using Event = std::variant<EngineList, RequestArrived, AttemptEnded, ResponseStarted, AttemptUpdate,
                           ClientDisconnected, TimerFired, ProbeEnded>;

// ---- actions ----

// Send the request to the engine. The attempts of a request are numbered 0, 1, 2 ... in the order in which
// they are sent.
struct Send {
  RequestId request = 0;
  EngineId engine = 0;
  // Absent: until the request's deadline.
  std::optional<Time> timeout;
};

// Options for the request's next attempts. The priority also applies immediately to its attempts in flight.
struct SetExecutionOptions {
  RequestId request = 0;
  // Absent: the engine chooses.
  std::optional<double> memory_mb;
  int priority = 1;
};

// Cancel an attempt that is in flight.
struct Cancel {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

// Send a final response that tells the client that it is safe to retry.
struct Reject {
  RequestId request = 0;
  std::optional<Time> retry_after;
};

// Send a final response that does not tell whether the request ran.
struct Fail {
  RequestId request = 0;
};

// Start a timer that expires at this time with this token.
struct SetTimer {
  Time at = 0;
  std::uint64_t token = 0;
};

// Request a load report from the engine.
struct Probe {
  EngineId engine = 0;
};

// Subscribe to the engine list and its changes.
struct SubscribeEngineList {};

// Write a line to the log.
struct Log {
  std::string text;
};

// Any output of the router.
using Action =
    std::variant<Send, SetExecutionOptions, Cancel, Reject, Fail, SetTimer, Probe, SubscribeEngineList, Log>;

// Thrown for invalid or contradictory settings. The message names the setting.
struct InvalidSettings : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

// Decides which engine runs which request, and when. May be used by one thread at a time.
class Router {
 public:
  // Throws InvalidSettings if the settings are invalid.
  explicit Router(Settings settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  // Processes the events that happened at `now` and appends the resulting actions, in order.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
  // Replaces the settings. A class index must keep denoting the same class; a class whose settings differ
  // takes over the learned state of the class with the same name. Averages, limits, engine health and open
  // requests are kept. Throws InvalidSettings and changes nothing if the settings are invalid. An engine list
  // should follow if machine types or zones changed.
  void update_settings(Settings settings);
  // Number of listed engines that get no new requests at `now`, or only one at a time, because they are
  // draining, failing or unreachable.
  [[nodiscard]] std::size_t avoided_engines(Time now) const;
  // Returns the request whose timer has the token, or nothing if it belongs to no request. A request's timer
  // is no longer needed once the request has its final response and no attempt in flight.
  [[nodiscard]] static std::optional<RequestId> request_of_timer(std::uint64_t token);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rookproxy::routing
