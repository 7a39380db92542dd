#pragma once

#include <cstddef>
#include <cstdint>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing::simulation {

// A client's request and what became of it.
struct SimulatedRequest {
  std::uint32_t dispatcher = 0;
  ClassIndex class_index = 0;
  // Microseconds of one thread.
  double work = 0;
  Time arrived_at = 0;
  Time objective_at = 0;
  Time deadline = 0;
  // When its final response came; negative: it has had none.
  Time ended_at = -1;
  // Whether the final response was a result.
  bool succeeded = false;
  // Its dispatcher was killed.
  bool orphaned = false;
  std::uint32_t sends = 0;
  int attempts_in_flight = 0;
  bool may_have_run = false;
};

// One send of a request to an engine.
struct SentAttempt {
  Time sent_at = 0;
  std::uint32_t dispatcher = 0;
  EngineId engine = 0;
  // Index into EngineSet::processes().
  std::size_t process = 0;
  double work = 0;
  // The dispatcher's engine list had the start of that process.
  bool start_was_listed = false;
};

}  // namespace rookproxy::routing::simulation
