// Affinity: requests of a table group go to engines that have its tables in memory.
#pragma once

#include <cstdint>

#include "routing/engine.h"
#include "routing/placement.h"
#include "routing/request.h"
#include "routing/routing_state.h"
#include "routing/slow_start.h"

namespace rookproxy::routing {

// The load-balanced distance of "On Smart Query Routing" (3.4.2): each engine has a centroid, the weighted
// mean of the groups that it was sent, and a request prefers engines whose centroid is near to its own group.
// Used by the Router's thread alone; the arguments of the constructor have to outlive it.
class Affinity {
 public:
  Affinity(const RoutingState& state, const SlowStartLimiter& slow_start)
      : state_(state), slow_start_(slow_start) {}

  // Reads the number of instances from the settings. To be called when settings have changed.
  void configure();
  // Counts a request in its group's demand, and sets its preferred engine.
  void record_request(Request& request);
  // Moves the engine's centroid toward the group that it has just been sent. The first sends are averaged
  // evenly: an engine's first group is its whole centroid, not a sliver of it.
  void record_send(Engine& engine, std::uint64_t group) const;
  // Plans which engines are preferred for which groups.
  void plan_placement();
  // Does so if the last plan is old.
  void refresh_placement() {
    if (placement_.plan_expired(state_.now)) plan_placement();
  }
  // The distance of the request's group from the engine's centroid, where `centroid` is the group's part of
  // it.
  //
  // The centroid is over all instances' sends, of which we see a few. The unseen part is a guess that all
  // agree on: the engines planned for the group, of which a query draws one, as if the group were cut in
  // parts that have one engine each.
  [[nodiscard]] double distance(const Engine& engine, const Request& request, double centroid) const;
  // The weight of what we saw of a centroid, against what all instances agree on by hash: 1 for a lone
  // instance.
  [[nodiscard]] double own_weight() const { return own_weight_; }

 private:
  // A number from 0 to 1 by which the request's preferred engine is drawn. Few instances each stay with one
  // engine, and their own load tells when another is due; of many, nobody's load tells, so their queries are
  // dealt out over all.
  [[nodiscard]] double placement_draw(const Request& request) const;

  const RoutingState& state_;
  const SlowStartLimiter& slow_start_;
  Placement placement_;
  double own_weight_ = 1;
};

}  // namespace rookproxy::routing
