#include "routing/affinity.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "routing/hash.h"

namespace rookproxy::routing {
// Fraction of a centroid that is kept at each send (alpha in the paper).
constexpr double kCentroidRetained = 0.5;
// The weight of own sends is the number of instances to the power of minus this.
constexpr double kOwnWeightExponent = 0.4;
// Squared norm of the planned part of a centroid.
constexpr double kPlannedNormSquared = 0.3;
// Components of groups below this are dropped.
constexpr double kMinCentroid = 1e-3;

void Affinity::configure() { own_weight_ = std::pow(state_.settings.instance_count, -kOwnWeightExponent); }

double Affinity::distance(const Engine& engine, const Request& request, double centroid) const {
  const bool preferred = engine.entry.id == request.preferred_engine;
  const double planned = preferred ? 1 : placement_.planned_share(engine.entry.id, request.group) / 2;
  const double mean = own_weight_ * centroid + (1 - own_weight_) * planned;
  const double norm_squared =
      own_weight_ * engine.centroid_norm_squared + (1 - own_weight_) * kPlannedNormSquared;
  return std::sqrt(std::max(0.0, norm_squared - 2 * mean + 1));
}

void Affinity::record_send(Engine& engine, std::uint64_t group) const {
  engine.move_centroid(group,
                       std::min(kCentroidRetained, engine.centroid_sends / (engine.centroid_sends + 1.0)));
  engine.drop_groups_below(kMinCentroid, state_.now);
}

void Affinity::record_request(Request& request) {
  placement_.record_demand(request.group, state_.class_of(request).mean_work.value(), state_.now);
  if (placement_.needs_plan(request.group, state_.now)) plan_placement();
  const bool is_load = state_.settings_of(request).is_load;
  request.preferred_engine =
      is_load ? kNoPreferredEngine : placement_.select_engine(request.group, placement_fraction(request));
}

double Affinity::placement_fraction(const Request& request) const {
  const std::uint64_t instance = mix(state_.settings.instance_index);
  const double by_instance = unit_interval(mix(instance ^ request.group));
  const double by_request = unit_interval(mix(instance ^ mix(request.id)));
  const double sum = by_instance + (1 - own_weight_) * by_request;
  return sum - std::floor(sum);
}

void Affinity::plan_placement() {
  std::vector<Placement::EngineCapacity> engines;
  for (const auto& [id, engine] : state_.engines) {
    if (!engine.is_serving()) continue;
    engines.push_back({id, engine.name_hash, engine.cores * slow_start_.capacity_share(engine)});
  }
  placement_.plan(engines, state_.now);
}

}  // namespace rookproxy::routing
