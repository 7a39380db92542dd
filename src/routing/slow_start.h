// Slow start: limits what all instances together may send to an engine that has just started.
#pragma once

#include "routing/engine.h"
#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Limits the work that this instance sends to an engine that is warming up. Each instance computes its own
// part such that the sum over all instances stays within the settings' slow_start without communication. Used
// only by the Router's thread; `state` must outlive it.
class SlowStartLimiter {
 public:
  explicit SlowStartLimiter(const RoutingState& state) : state_(state) {}

  // Returns whether the engine started so recently that it has less than its full capacity.
  [[nodiscard]] bool warming_up(const Engine& engine) const {
    const auto& slow_start = state_.settings.slow_start;
    if (!slow_start || engine.warming_since <= 0) return false;
    return state_.now - engine.warming_since < slow_start->warm_up_period;
  }
  // Returns a lower bound of the engine's current capacity as a fraction of its full capacity.
  [[nodiscard]] double capacity_share(const Engine& engine) const {
    return warming_up(engine) ? warming_capacity_share(engine) : 1;
  }
  // Returns whether the request may be sent now. Drops sends that are older than the overload window.
  //
  // Few instances divide the engine's budget. If a part is too small for a query, the instances take turns in
  // time slots that are allotted, by class and instance index, from the total that may be sent since the
  // engine's start, which every instance knows from the list. A slot allows one query, lasts one overload
  // window and is lost if unused, so that no instance catches up after a stall or a restart.
  [[nodiscard]] bool allows(Engine& engine, const Request& request) const {
    return !warming_up(engine) || budget_allows(engine, request);
  }
  // Counts a send against the engine's budget.
  void record_send(Engine& engine, const Request& request) const;
  // Treats the budget as spent if the engine started before this process received its first event: it is
  // unknown what the previous process sent in the preceding window.
  void record_restart(Engine& engine) const;

 private:
  // Returns the capacity share of an engine that is warming up.
  [[nodiscard]] double warming_capacity_share(const Engine& engine) const;
  // Returns whether the budget of an engine that is warming up has room for the request.
  [[nodiscard]] bool budget_allows(Engine& engine, const Request& request) const;
  // Returns the work, in microseconds of one thread, that this instance may send to the engine per overload
  // window.
  [[nodiscard]] double budget(const Engine& engine) const;
  // Returns whether one of this instance's time slots for the request's class has begun.
  [[nodiscard]] bool has_time_slot(const Engine& engine, const Request& request, double work) const;

  const RoutingState& state_;
};

}  // namespace rookproxy::routing
