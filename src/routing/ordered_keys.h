// Ordering of requests that have the same key.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Queues the requests of each key in order of arrival. Requests without a key and classes without ordering
// are not queued. Used only by the Router's thread; `state` and the queued requests must outlive their
// entries.
class OrderedKeys {
 public:
  explicit OrderedKeys(const RoutingState& state) : state_(state) {}

  void enter(Request& request);
  // Returns whether the request has a key and its class runs the requests of a key one at a time.
  [[nodiscard]] bool is_ordered(const Request& request) const;
  // Returns whether an ordered request is the first in the queue of its key.
  [[nodiscard]] bool is_first(const Request& request) const;
  // Returns whether the key of an ordered request is in its cooldown after an attempt that may still run.
  [[nodiscard]] bool in_cooldown(const Request& request) const;
  // Starts the key's cooldown from the settings, after an attempt that may still run on its engine.
  void start_cooldown(const Request& request);
  // Removes the request from its queue if it is completed and has no attempt in flight.
  void remove_if_done(Request& request);
  // Drops keys without queued requests whose cooldown is over.
  void drop_idle();

 private:
  // The queue and cooldown of one key.
  struct Key {
    std::deque<Request*> waiting;
    Time cooldown_until = 0;
  };

  const RoutingState& state_;
  std::map<std::uint64_t, Key> keys_;
};

}  // namespace rookproxy::routing
