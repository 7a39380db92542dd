#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing::simulation {

// An attempt that runs on an engine.
struct RunningAttempt {
  // Index into SimulatedCluster::requests().
  std::size_t request = 0;
  std::uint32_t attempt = 0;
  // The engine that it was sent to; the process may be another engine's by now.
  EngineId engine = 0;
  // Microseconds of one thread.
  double remaining_work = 0;
  Time sent_at = 0;
  Time next_update_at = 0;
  // Its response and updates never arrive.
  bool lost = false;
};

// One process of an engine, from a start to its exit.
struct EngineProcess {
  double cores = 8;
  Time started_at = 0;
  bool exited = false;
  // It accepts requests and does no work.
  bool hung = false;
  std::vector<RunningAttempt> attempts;
  // What comes beyond these is rejected.
  std::size_t max_attempts = 64;
};

}  // namespace rookproxy::routing::simulation
