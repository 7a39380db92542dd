// A request and its attempts as the router keeps them.
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

// A time before all others.
constexpr Time kLongAgo = -1'000'000'000;

struct Engine;

// One send of a request to an engine.
struct Attempt {
  Engine* target = nullptr;  // valid while the attempt is in flight
  EngineId engine_id = 0;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  Time sent_at = 0;
  Time last_update_at = 0;           // of the send or the last update about it
  int priority = 0;                  // that it was sent with
  double granted_memory_mb = 0;      // 0: the engine chooses
  bool in_flight = true;             // its end has not been reported
  bool cancelled = false;            // or must not be cancelled any more
  bool spilled = false;              // its memory grant was too small
  bool may_have_run = true;          // until an outcome shows that it did not
  bool waiting_for_memory = false;   // the engine said so
  bool sent_during_warm_up = false;  // limited by slow start and not by the aggregate limit
  bool presumed_lost = false;        // no longer counted in the limits
  bool request_suspected = false;    // ended in an error that the request itself may have caused

  // Whether an engine of this entry is within `scope` of the engine that the attempt was sent to.
  [[nodiscard]] bool shares_scope(const EngineEntry& engine, IdempotencyScope scope) const {
    if (scope == IdempotencyScope::kZone) return zone == engine.zone;
    return scope == IdempotencyScope::kAll || cell == engine.cell;
  }
};

// A request from its arrival until its last attempt has ended.
struct Request {
  RequestId id = 0;
  ClassIndex class_index = 0;
  std::uint64_t key = 0;    // 0: none
  std::uint64_t group = 0;  // of tables
  Time arrived_at = 0;
  Time deadline = 0;      // after which the client does not wait
  Time objective_at = 0;  // a response by then earns the full weight
  std::optional<double> memory_mb;
  double work = 0;  // corrected estimate, microseconds of one thread
  double priority_weight = 1;
  double log_weight_rate = 0;     // binary logarithm of its weight per second of work
  Time probing_until = 0;         // it waits for probes until then; 0: none were sent
  Engine* queued_on = nullptr;    // the engine in whose queue it waits
  EngineId preferred_engine = 0;  // drawn from the placement plan
  bool completed = false;         // it has its final response
  bool has_estimate = false;      // the client's side estimated its work
  int attempts_in_flight = 0;
  std::vector<Attempt> attempts;  // in the order of their sends

  // Whether its last attempt went to this engine.
  [[nodiscard]] bool was_last_sent_to(EngineId engine) const {
    return !attempts.empty() && attempts.back().engine_id == engine;
  }
  // How many attempts ended in an error that the request itself may have caused.
  [[nodiscard]] std::ptrdiff_t suspected_attempts() const {
    return std::count_if(attempts.begin(), attempts.end(),
                         [](const Attempt& a) { return a.request_suspected; });
  }
  // Whether any attempt may have had an effect.
  [[nodiscard]] bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
};

}  // namespace rookproxy::routing
