// Requests of classes that run one at a time for each key.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Keeps the requests of each key in the order of their arrival. Requests without a key, and classes without
// order, pass freely. Used by the Router's thread alone; `state` and the requests entered have to outlive
// their entries.
class OrderedKeys {
 public:
  explicit OrderedKeys(const RoutingState& state) : state_(state) {}

  void enter(Request& request);
  // Whether the request has a key, and a class whose requests run one at a time for each key.
  [[nodiscard]] bool is_ordered(const Request& request) const;
  // Whether an ordered request is the first of those that entered with its key.
  [[nodiscard]] bool is_first(const Request& request) const;
  // Whether the key of an ordered request rests after an attempt that may still run.
  [[nodiscard]] bool in_cooldown(const Request& request) const;
  // An attempt ended that may still run: the key's next request waits for the settings' cooldown.
  void start_cooldown(const Request& request);
  // Removes a request that is completed and has no attempt in flight.
  void leave_if_done(Request& request);
  // Drops keys that nothing waits for.
  void forget_idle();

 private:
  // The requests of one key.
  struct Key {
    std::deque<Request*> waiting;
    Time cooldown_until = 0;
  };

  const RoutingState& state_;
  std::map<std::uint64_t, Key> keys_;
};

}  // namespace rookproxy::routing
