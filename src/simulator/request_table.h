// The active requests of an instance, by the ids that the simulator's protocol uses.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "rookproxy/routing/router.h"

namespace rookproxy::simulator {

// Assigns ids to requests and tracks each request until it is completed and none of its attempts is in
// flight. An id is never reused, not even after `clear`. Not thread-safe.
class RequestTable {
 public:
  // Returns the request's id and assigns one if the request is not tracked yet.
  routing::RequestId add(std::string_view wire_id);

  // Returns the id of a tracked request, or nothing.
  [[nodiscard]] std::optional<routing::RequestId> find(std::string_view wire_id) const;

  // Returns the protocol's id of a request. Throws std::logic_error if the request is not tracked.
  [[nodiscard]] const std::string& wire_id(routing::RequestId request) const;

  // Records that an attempt was started. Throws std::logic_error if the request is not tracked.
  void start_attempt(routing::RequestId request);

  // Records that an attempt of a tracked request is no longer in flight.
  void end_attempt(routing::RequestId request);

  // Records that the request has its final response. Does nothing if the request is not tracked.
  void complete(routing::RequestId request);

  // Stops tracking the request if it is completed and has no attempt in flight.
  void release_if_finished(routing::RequestId request);

  void clear();

 private:
  struct TrackedRequest {
    std::string wire_id;
    int in_flight = 0;
    bool completed = false;
  };

  std::unordered_map<std::string, routing::RequestId> ids_;
  std::unordered_map<routing::RequestId, TrackedRequest> requests_;
  routing::RequestId next_id_ = 0;
};

}  // namespace rookproxy::simulator
