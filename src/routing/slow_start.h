// Slow start: limits what all instances together may send to an engine that has just started.
#pragma once

#include "routing/engine.h"
#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Keeps this instance's part of the work that an engine may be sent while it warms up. Instances don't talk
// to each other, so each part is computed such that their sum stays within the settings' slow_start. Used by
// the Router's thread alone; `state` has to outlive it.
class SlowStartLimiter {
 public:
  explicit SlowStartLimiter(const RoutingState& state) : state_(state) {}

  // Whether the engine started so recently that it has less than its full capacity.
  [[nodiscard]] bool warming_up(const Engine& engine) const {
    const auto& slow_start = state_.settings.slow_start;
    if (!slow_start || engine.warming_since <= 0) return false;
    return state_.now - engine.warming_since < slow_start->warm_up_period;
  }
  // A lower bound of the engine's present capacity as a share of the full one; it grows slowly at first.
  [[nodiscard]] double capacity_share(const Engine& engine) const {
    return warming_up(engine) ? warming_capacity_share(engine) : 1;
  }
  // Whether the request may be sent now. Forgets sends that are older than the overload window.
  //
  // Few instances split the engine's budget. Where a part is too small for a query they take time slots in
  // turn: what may be sent since the start, which every instance knows from the list, is dealt out by class
  // and instance index. A slot is for one query, lasts one overload window and is lost if unused, so that no
  // instance catches up after a stall or a restart.
  [[nodiscard]] bool allows(Engine& engine, const Request& request) const {
    return !warming_up(engine) || budget_allows(engine, request);
  }
  // Counts a send against the budget.
  void record_send(Engine& engine, const Request& request) const;
  // Treats the budget as spent if the engine started before this process did: what the process before us sent
  // in the window before is unknown, however late we learn of the start.
  void record_restart(Engine& engine) const;

 private:
  // The present capacity share of an engine that is warming up.
  [[nodiscard]] double warming_capacity_share(const Engine& engine) const;
  // Whether the budget of an engine that is warming up has room for the request.
  [[nodiscard]] bool budget_allows(Engine& engine, const Request& request) const;
  // This instance's part of the work, in microseconds of one thread, that the engine may be sent in a window.
  [[nodiscard]] double budget(const Engine& engine) const;
  // Whether one of this instance's time slots for the request's class is due.
  [[nodiscard]] bool has_time_slot(const Engine& engine, const Request& request, double work) const;

  const RoutingState& state_;
};

}  // namespace rookproxy::routing
