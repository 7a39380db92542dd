// The requests of an instance that still matter, by the ids that the simulator's protocol names them with.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "rookproxy/routing/router.h"

namespace rookproxy::simulator {

// Numbers requests and remembers each until it has its final answer and none of its attempts is in flight.
// Numbers are never given twice, not even after `clear`. Used by one thread at a time.
class RequestTable {
 public:
  // The number of a request, which gets one if it has none yet.
  routing::RequestId add(std::string_view wire_id);

  // The number of a request that is remembered.
  [[nodiscard]] std::optional<routing::RequestId> find(std::string_view wire_id) const;

  // The protocol's id of a request. Throws std::logic_error for one that is not remembered.
  [[nodiscard]] const std::string& wire_id(routing::RequestId request) const;

  // An attempt is in flight from now on. Throws std::logic_error for a request that is not remembered.
  void start_attempt(routing::RequestId request);

  // An attempt of a remembered request is no longer in flight.
  void end_attempt(routing::RequestId request);

  // The request has its final answer. One that is not remembered is left alone.
  void complete(routing::RequestId request);

  // Forgets a request that has its final answer and no attempt in flight; leaves any other alone.
  void release_if_finished(routing::RequestId request);

  void clear();

 private:
  // A request that is remembered.
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
