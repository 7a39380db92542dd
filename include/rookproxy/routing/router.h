// The public interface of the decision module (decisions live in src/routing).
//
// A host creates one Router per gateway process and feeds it batches of events; the router appends the
// actions to carry out, in order. An instance is used by one thread at a time and instances share nothing.
// All text and vectors are owned by value; nothing handed in needs to outlive the call.
// Times are microseconds on the host's clock, which only moves forward.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace rookproxy::routing {

using Time = std::int64_t;
using RequestId = std::uint64_t;  // chosen by the host, never reused in an instance's life
using EngineId = std::uint32_t;   // chosen by the host, dense from 0; the same engine keeps its id
using ClassIndex = std::uint32_t;

enum class Idempotency {
  kIdempotent,
  kKeyed,
  kNonIdempotent
};                                                    // may a request that possibly ran be sent again?
enum class IdempotencyScope { kAll, kZone, kCell };   // keyed: which engines drop repeats of one request
enum class EngineListMode { kPushed, kSubscribed };   // does the engine list come by itself?
enum class MemoryPressure { kWait, kShrink, kPage };  // what an engine does when grants pass its memory

struct ClassSettings {
  std::string name;
  double priority_weight = 1;
  Time latency_objective = 0;             // an answer within this (plus the stretch) earns the full worth
  double latency_objective_per_work = 0;  // the aim grows by this times work over threads
  Time timeout = 0;
  double late_weight = 0;  // share of the worth after the aim, before the client gives up
  Idempotency idempotency = Idempotency::kIdempotent;
  std::optional<IdempotencyScope> idempotency_scope;  // keyed classes
  std::optional<Time> idempotency_window;             // keyed classes: how long repeats are dropped
  bool ordered = false;                               // requests of one key run one at a time
  std::optional<std::vector<std::uint32_t>> allowed_zones;
  std::optional<std::vector<std::uint32_t>> allowed_machine_types;
  int threads = 1;
  bool is_load = false;                       // holds its table group on its engine while it runs
  bool waits_for_loads = false;               // stands still while a load holds its group
  std::optional<std::uint32_t> max_attempts;  // absent: as the settings have it
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double quota_per_second = 0;  // over all gateways
  double share = 0;
};

struct MachineTypeSettings {
  std::string name;
  std::optional<double> cores;
  std::optional<double> memory_mb;
};

struct SlowStart {
  double initial_share = 1;    // share of its capacity that an engine starts with at least
  Time warm_up_period = 0;     // warm by then at the latest
  double overload_factor = 1;  // pushed beyond this times its present capacity ...
  Time overload_window = 0;    // ... for this long, it falls over
};

struct RetryBudget {
  double min_retries = 0;  // further attempts allowed whatever the traffic
  double retry_ratio = 0;  // and this many for each request taken
  Time window = 0;
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t instance_count = 1;  // gateways before the same fleet
  std::uint32_t instance_index = 0;
  std::uint32_t zone = 0;
  std::uint32_t zones = 1;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<MachineTypeSettings> machine_types;
  EngineListMode engine_list_mode = EngineListMode::kPushed;
  bool may_cancel = false;
  bool may_probe = false;
  bool reports_load = true;  // do engines report their load at all, in answers or to probes?
  bool hedging = false;
  std::uint32_t max_attempts = 1;
  std::optional<Time>
      max_retry_after;  // the longest advice that clients heed; absent: advice is not passed on
  Time response_grace_period = 0;
  Time drain_grace_period = 0;
  std::optional<SlowStart> slow_start;
  std::optional<Time> ordered_key_cooldown;  // a key rests this long after an attempt that may still run
  std::optional<RetryBudget> retry_budget;
  bool memory_grants_supported = false;
  bool priorities_supported = false;
  std::optional<double> max_memory_grant_share;  // share of an engine's memory that one query gets at most
  MemoryPressure memory_pressure = MemoryPressure::kWait;
  std::optional<Time> progress_interval;
  bool reports_cost = false;
  double over_quota_weight = 1;
  double cross_zone_cost =
      0;  // points of the goal for attempts that leave the zone, each as a share of first tries
  double probe_cost = 0;  // ... and for probes
};

// ---- events ----

enum class EngineState { kServing, kDraining, kRemoved };

struct EngineEntry {
  EngineId id = 0;
  std::string name;     // hashed for ties, so that gateways agree; carries no other meaning
  Time started_at = 0;  // 0: long ago
  EngineState state = EngineState::kServing;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  double weight = 1;
  std::uint32_t machine_type = 0;
};

enum class EngineListKind { kCached, kSnapshot, kDelta, kRejected };

struct EngineList {
  EngineListKind kind = EngineListKind::kSnapshot;
  std::vector<EngineEntry> entries;
};

struct RequestArrived {
  RequestId id = 0;
  ClassIndex class_index = 0;
  std::uint64_t key = 0;  // 0: none
  Time deadline = 0;
  std::uint64_t group = 0;
  std::optional<double> work;       // estimate, microseconds of one thread
  std::optional<double> memory_mb;  // estimate
  std::optional<std::uint32_t> tenant;
  bool is_client_retry = false;  // the client marked it as its own further try
};

struct LoadReport {
  std::optional<double> active_queries;              // queries in hand
  std::optional<double> queries_waiting_for_memory;  // queries waiting for memory
  std::optional<double> cpu_utilization;             // share
  std::optional<double> memory_utilization;          // share
  std::optional<double> disk_utilization;            // share
};

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

struct AttemptEnded {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::kServed;
  Time latency = 0;
  bool completed = false;           // the request has had its final answer
  std::optional<double> work;       // what it cost, microseconds of one thread
  std::optional<double> memory_mb;  // what it needed
  std::optional<LoadReport> report;
};

struct ResponseStarted {  // streamed answers: the attempt belongs to the client now
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

enum class AttemptUpdateKind { kProgress, kSpilling, kWaitingForMemory, kWaitingForLoad };

struct AttemptUpdate {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EngineId engine = 0;
  AttemptUpdateKind kind = AttemptUpdateKind::kProgress;
  double amount = 0;  // progress: share done; spills: MB missing
};

struct ClientDisconnected {  // the client has left
  RequestId request = 0;
};

struct TimerFired {
  std::uint64_t token = 0;
};

struct ProbeEnded {
  EngineId engine = 0;
  Outcome outcome = Outcome::kServed;
  Time latency = 0;
  std::optional<LoadReport> report;
};

using Event = std::variant<EngineList, RequestArrived, AttemptEnded, ResponseStarted, AttemptUpdate,
                           ClientDisconnected, TimerFired, ProbeEnded>;

// ---- actions ----

struct Send {  // attempts of a request are numbered 0, 1, 2 ... in the order of their sends
  RequestId request = 0;
  EngineId engine = 0;
  std::optional<Time> timeout;  // absent: until the client gives up
};
struct SetExecutionOptions {  // for the request's next sends; the priority holds at once for attempts out
  RequestId request = 0;
  std::optional<double> memory_mb;  // absent: the engine chooses
  int priority = 1;
};
struct Cancel {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};
struct Reject {  // final answer: trying again is harmless
  RequestId request = 0;
  std::optional<Time> retry_after;
};
struct Fail {  // final answer: promises nothing
  RequestId request = 0;
};
struct SetTimer {
  Time at = 0;
  std::uint64_t token = 0;
};
struct Probe {
  EngineId engine = 0;
};
struct SubscribeEngineList {};  // ask for the engine list's changes from now on
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, SetExecutionOptions, Cancel, Reject, Fail, SetTimer, Probe, SubscribeEngineList, Log>;

struct InvalidSettings : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

class Router {
 public:
  explicit Router(Settings settings);  // throws BadSettings, naming the setting
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  // Takes all that happened at `now` and appends what to do, in order.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);
  // Other settings from now on. Indices of classes go on meaning the same classes; one whose entry is another
  // takes over what is known of its namesake. Means, windows, health and open requests go on. Throws
  // BadSettings, and then nothing has changed. A list of engines should follow where kinds or zones changed.
  void update_settings(Settings settings);
  // How many of the listed engines get no new work now, or a trickle: draining, failing or out of reach.
  std::size_t avoided_engines(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rookproxy::routing
