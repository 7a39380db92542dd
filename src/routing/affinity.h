// Affinity: sends the requests of a table group to engines that hold its tables in memory.
#pragma once

#include <cstdint>

#include "routing/engine.h"
#include "routing/placement.h"
#include "routing/request.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace rookproxy::routing {

// Computes the load-balanced distance of "On Smart Query Routing" (section 3.4.2): each engine has a
// centroid, the weighted mean of the groups that it was sent, and a request prefers engines whose centroid is
// close to its group. Used only by the Router's thread; the constructor's arguments must outlive it.
class Affinity {
 public:
  Affinity(const RoutingState& state, const SlowStartLimiter& slow_start)
      : state_(state), slow_start_(slow_start) {}

  // Applies the number of instances in the settings. Call after the settings have changed.
  void configure();
  // Adds the request to its group's demand and sets its preferred engine.
  void record_request(Request& request);
  // Moves the engine's centroid toward the group that it has just been sent. The first sends are averaged
  // evenly, so that the first group makes up the whole centroid.
  void record_send(Engine& engine, std::uint64_t group) const;
  // Recomputes the preferred engines of all groups.
  void plan_placement();
  // Recomputes the preferred engines if the plan has expired.
  void refresh_placement() {
    if (placement_.plan_expired(state_.now)) plan_placement();
  }
  // Returns the distance between the request's group and the engine's centroid. `centroid` is the component
  // of the group in it.
  //
  // The centroid covers the sends of all instances, of which this instance knows only its own. The rest is
  // approximated by the placement plan, on which all instances agree: a query draws one of the engines
  // planned for its group, as if the group were cut into parts that have one engine each.
  [[nodiscard]] double distance(const Engine& engine, const Request& request, double centroid) const;
  // Returns the weight of this instance's own sends against the placement plan: 1 if there is only one
  // instance.
  [[nodiscard]] double own_weight() const { return own_weight_; }

 private:
  // Returns a number from 0 to 1 that selects the request's preferred engine. With few instances it depends
  // mostly on the instance, so that each stays with one engine and its own load shows when to use another.
  // With many, where no instance sees the load, the requests are spread over all engines of the group.
  [[nodiscard]] double placement_fraction(const Request& request) const;

  const RoutingState& state_;
  const SlowStartLimiter& slow_start_;
  Placement placement_;
  double own_weight_ = 1;
};

}  // namespace rookproxy::routing
