// The router's records of requests and their attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// A time that never comes.
constexpr Time kNever = std::numeric_limits<Time>::max();

// A time before any event.
constexpr Time kLongAgo = -1'000'000'000;

struct Engine;

// One send of a request to an engine.
struct Attempt {
  // Valid while the attempt is in flight. Not owned.
  Engine* target = nullptr;
  EngineId engine_id = 0;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  Time sent_at = 0;
  // Time of the send or of the last update about the attempt.
  Time last_update_at = 0;
  // Priority that it was sent with.
  int priority = 0;
  // Memory grant in MB. 0: the engine chooses.
  double granted_memory_mb = 0;
  // Whether its end has not been reported yet.
  bool in_flight = true;
  // Whether it was cancelled or must not be cancelled any more.
  bool cancelled = false;
  // Whether its memory grant was too small.
  bool spilled = false;
  // True until an outcome proves that it did not run.
  bool may_have_run = true;
  // Whether its engine reported that it waits for memory.
  bool waiting_for_memory = false;
  // Whether slow start limited it instead of the aggregate limit.
  bool sent_during_warm_up = false;
  // Whether it was removed from the limits because it is presumed lost.
  bool presumed_lost = false;
  // Whether it ended in an error that the request itself may have caused.
  bool request_suspected = false;

  // Returns whether `engine` is within `scope` of the engine that the attempt was sent to.
  [[nodiscard]] bool shares_scope(const EngineEntry& engine, IdempotencyScope scope) const {
    if (scope == IdempotencyScope::kZone) return zone == engine.zone;
    return scope == IdempotencyScope::kAll || cell == engine.cell;
  }
};

// A request, kept from its arrival until its last attempt has ended.
struct Request {
  RequestId id = 0;
  ClassIndex class_index = 0;
  // Key of an ordered or keyed request. 0: none.
  std::uint64_t key = 0;
  // Group of tables.
  std::uint64_t group = 0;
  Time arrived_at = 0;
  // Time after which the client no longer waits.
  Time deadline = 0;
  // Latency objective: a response by this time earns the full weight.
  Time objective_at = 0;
  std::optional<double> memory_mb;
  // Corrected work estimate, in microseconds of one thread.
  double work = 0;
  double priority_weight = 1;
  // Binary logarithm of its weight per second of work.
  double log_weight_rate = 0;
  // Time until which it waits for probes. 0: none were sent.
  Time probing_until = 0;
  // Engine in whose queue it waits, or null. Not owned.
  Engine* queued_on = nullptr;
  // Engine selected from the placement plan.
  EngineId preferred_engine = 0;
  // Whether its final response was given.
  bool completed = false;
  // Whether it arrived with an estimate of its work.
  bool has_estimate = false;
  int attempts_in_flight = 0;
  // Attempts in the order in which they were sent.
  std::vector<Attempt> attempts;

  // Returns whether its last attempt was sent to this engine.
  [[nodiscard]] bool was_last_sent_to(EngineId engine) const {
    return !attempts.empty() && attempts.back().engine_id == engine;
  }
  // Returns the number of attempts that ended in an error that the request itself may have caused.
  [[nodiscard]] std::ptrdiff_t suspected_attempts() const {
    return std::count_if(attempts.begin(), attempts.end(),
                         [](const Attempt& a) { return a.request_suspected; });
  }
  // Returns whether any attempt may have had an effect.
  [[nodiscard]] bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
};

}  // namespace rookproxy::routing
