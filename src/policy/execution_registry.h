// Decides whether a request that must not run twice may run, by its client's id.
//
// A client that has left may send the same id again, on a new connection or to another process of the same
// dispatcher, while the first request still runs or after it has run.
//
//   state of an id       begin                          end, it never ran   end, it may have run   retention
//   is over unknown              admitted: open                 -                   -                      -
//   open                 refused: may have run          unknown             may have run           -
//   may have run         refused: may have run          -                   -                      unknown
//
// While the registry is full, unknown ids are refused too, since nothing could be said of them later.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// Whether a request may run. kUnavailable: it has not run, and can be tried again later.
enum class ExecutionAdmission { kAdmitted, kMayHaveRun, kUnavailable };

// The ids of requests that must not run twice. Used by one thread at a time; the caller provides the time.
class ExecutionRegistry {
 public:
  using ExecutionId = std::uint64_t;

  // How long an id is remembered after its request has ended.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  static constexpr std::size_t kMaxExecutions = 65'536;

  // Must be called before a request may run. If it is admitted, end() must follow.
  [[nodiscard]] ExecutionAdmission begin(ExecutionId id);
  // Must be called once nothing of the request runs any more.
  void end(ExecutionId id, bool may_have_run, Time now);
  // Forgets and returns the ids whose retention is over. Must be called before begin().
  [[nodiscard]] std::vector<ExecutionId> take_expired(Time now);

  [[nodiscard]] std::size_t size() const { return states_.size(); }

 private:
  enum class State { kOpen, kMayHaveRun };
  struct Ended {
    Time forget_at;
    ExecutionId id = 0;
  };

  std::unordered_map<ExecutionId, State> states_;
  // The ids that may have run, in the order in which they are forgotten.
  std::deque<Ended> ended_;
};

}  // namespace rookproxy::policy
