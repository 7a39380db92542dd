// Events that the tests of the router feed to it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/test_time.h"

namespace rookproxy::routing {

// The token of the router's periodic timer, and its period.
constexpr std::uint64_t kTickToken = 1;
constexpr Time kTickPeriod = 20 * kMillisecond;

inline EngineEntry engine(EngineId id, Time started_at = 0) {
  EngineEntry entry;
  entry.id = id;
  entry.name = "engine-" + std::to_string(id);
  entry.started_at = started_at;
  return entry;
}

// The engines with the ids below `count`.
inline std::vector<EngineEntry> engine_entries(EngineId count, Time started_at = 0) {
  std::vector<EngineEntry> entries;
  for (EngineId id = 0; id < count; ++id) entries.push_back(engine(id, started_at));
  return entries;
}

// A request that arrives at `now` and may take 20 s.
inline RequestArrived query_at(Time now, RequestId id, std::uint64_t group = 0, double work = 100'000) {
  RequestArrived arrived;
  arrived.id = id;
  arrived.deadline = now + 20 * kSecond;
  arrived.group = group;
  arrived.work = work;
  return arrived;
}

// A request that may take until 20 s.
inline RequestArrived query(RequestId id, std::uint64_t group = 0, double work = 100'000) {
  return query_at(0, id, group, work);
}

inline AttemptEnded ended(RequestId id, std::uint32_t attempt, EngineId engine, Outcome outcome) {
  AttemptEnded event;
  event.request = id;
  event.attempt = attempt;
  event.engine = engine;
  event.outcome = outcome;
  event.latency = 100 * kMillisecond;
  event.completed = outcome == Outcome::kServed;
  return event;
}

// The end of a request's first attempt.
inline AttemptEnded ended(const Send& send, Outcome outcome) {
  return ended(send.request, 0, send.engine, outcome);
}

}  // namespace rookproxy::routing
