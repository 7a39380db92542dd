// The open requests, their attempts, and their use of the limits of the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "net/event_loop.h"
#include "net/slot_map.h"

namespace rookproxy {

// An attempt to run a request on an engine. The engine's location is that at the time at which the attempt
// was sent; the zone is stored by name, since zone indexes may change with the settings.
struct Attempt {
  EngineId engine = 0;
  std::string zone_name;
  std::uint32_t cell = 0;
  Time sent_at;
  bool in_flight = true;
  bool may_have_run = true;
  // Ends the attempt at its deadline, or cancels it earlier if it is unsent and must not start any more.
  TimerId timer{};
};

// An open request: one that has no response yet, or has attempts in flight.
struct Request {
  // The request as submitted, with a deadline that is earlier by the response margin.
  IncomingRequest incoming;
  // Null after the response was sent or the client disconnected.
  ResponseHandler* handler = nullptr;
  std::uint64_t correlation_id = 0;
  bool is_completed = false;
  // Whether the registry of executions has admitted it.
  bool is_registered = false;
  int attempts_in_flight = 0;
  int priority = 1;
  std::optional<double> memory_grant_mb;
  // Attempts by number.
  std::vector<Attempt> attempts;
  // Fails the request if the router has not ended it by the deadline.
  TimerId deadline_timer{};
  // The router's timer for the request.
  TimerId routing_timer{};
  std::string last_error;

  // Whether any attempt may have run on an engine.
  [[nodiscard]] bool may_have_run() const;
};

// The open requests by key. Pointers into the table are valid until a request is added or released.
class RequestTable {
 public:
  RequestKey add(Request request);

  [[nodiscard]] Request* find(RequestKey key) { return requests_.find(key); }
  [[nodiscard]] const Request* find(RequestKey key) const { return requests_.find(key); }
  // Returns null if the request or the attempt is unknown.
  [[nodiscard]] Attempt* find_attempt(AttemptKey key);

  // Marks a request of this table as completed, so that it no longer counts as unanswered.
  void complete(Request& request);
  // Marks an attempt of the request as ended.
  static void end_attempt(Request& request, Attempt& attempt, Outcome outcome);
  // Removes and returns the request if it is completed and has no attempt in flight.
  std::optional<Request> release_if_done(RequestKey key);

  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  [[nodiscard]] std::size_t unanswered() const { return unanswered_; }

 private:
  SlotMap<Request> requests_;
  std::size_t unanswered_ = 0;
};

}  // namespace rookproxy
