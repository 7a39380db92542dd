#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::routing::simulation {

// A dispatcher process in virtual time: a router, the events and timers that wait for it, and what its engine
// lists have told it.
class SimulatedDispatcher {
 public:
  SimulatedDispatcher(const Settings& settings, std::size_t class_count);

  // Replaces the process by one that knows nothing. The clients' arrivals go on as planned.
  void restart(const Settings& settings);

  // Queues an event for the next call of handle_events().
  void receive(Event event);
  // Queues an engine list; what it closes to new requests counts as closed from `now` on.
  void receive_list(Time now, const EngineList& list);
  void set_timer(const SetTimer& timer);
  // Hands all queued events and due timers to the router and returns its actions.
  [[nodiscard]] std::vector<Action> handle_events(Time now);

  // The version of the latest engine list that it has received.
  [[nodiscard]] std::uint64_t list_version() const { return list_version_; }
  void set_list_version(std::uint64_t version) { list_version_ = version; }
  // Whether its engine list has the engine with this start.
  [[nodiscard]] bool lists_start(EngineId engine, Time started_at) const;
  // Since when it has known that the engine takes no new requests. Absent: the engine takes them.
  [[nodiscard]] std::optional<Time> closed_since(EngineId engine) const;

  // When the next request of the class arrives; negative: not planned yet.
  [[nodiscard]] Time& next_arrival(ClassIndex class_index) { return next_arrivals_[class_index]; }

  // The indices of its requests without a final response.
  [[nodiscard]] const std::set<std::size_t>& open_requests() const { return open_requests_; }
  void open_request(std::size_t request) { open_requests_.insert(request); }
  void close_request(std::size_t request) { open_requests_.erase(request); }

 private:
  // A timer that the router has set.
  struct PendingTimer {
    Time at = 0;
    std::uint64_t token = 0;
    auto operator<=>(const PendingTimer&) const = default;
  };
  using TimerQueue = std::priority_queue<PendingTimer, std::vector<PendingTimer>, std::greater<>>;

  std::unique_ptr<Router> router_;
  std::vector<Event> inbox_;
  TimerQueue timers_;
  std::vector<Time> next_arrivals_;
  std::set<std::size_t> open_requests_;
  std::uint64_t list_version_ = 0;
  std::map<EngineId, EngineEntry> known_engines_;
  std::map<EngineId, Time> closed_at_;
};

}  // namespace rookproxy::routing::simulation
