#include "routing/engine_selection.h"

#include <algorithm>
#include <cstddef>

#include "routing/hash.h"

namespace rookproxy::routing {
// Queries on an engine that weigh as much as one unit of distance.
constexpr double kQueriesPerDistance = 20;
// Largest hash-based score, by which few instances prefer the same engines.
constexpr double kHashScore = 0.4;
// Score of an engine in another zone, multiplied by the settings' cross-zone cost.
constexpr double kCrossZoneScore = 10;
// Score of an unhealthy engine; outweighs all other terms.
constexpr double kUnhealthyScore = 100;
// Score of an engine that slow start forbids at present; outweighs all other terms but that of an unhealthy
// engine.
constexpr double kNoBudgetScore = 50;
// Multiple of the median latency from which an engine counts as slow.
constexpr double kMinSlowness = 1.8;
// Score of a slow engine, for each multiple of the median latency beyond the first.
constexpr double kSlowScore = 0.5;
// Score for meeting a load; more than the distance to an engine that holds none of the tables.
constexpr double kLoadConflictScore = 1.5;
// Score of the engine of the last attempt, so that a retry prefers another one.
constexpr double kRetryScore = 1;
// Number of engines probed for a query.
constexpr std::size_t kProbedEngines = 2;
// Number of engines probed where engines page on overcommitted memory.
constexpr std::size_t kProbedEnginesPaging = 3;
// Time that a query waits for probes.
constexpr Time kProbeWait = 15'000;
// With more of its own queries per engine, this instance's sends tell enough about the load.
constexpr double kMaxQueriesPerEngine = 1;
// Probes are not sent if their cost in the settings is higher.
constexpr double kMaxProbeCost = 0.02;

double EngineSelection::add_load_conflicts(double score, const Request& request,
                                           const GroupAffinity& group) const {
  const ClassSettings& c = state_.settings_of(request);
  if (c.waits_for_loads || c.is_load) score += kLoadConflictScore * group.active_loads;
  if (c.waits_for_loads && state_.now < group.load_seen_until) score += kLoadConflictScore;
  if (c.is_load) score += kLoadConflictScore * std::min(1, group.active_readers);
  return score;
}

double EngineSelection::score(const Engine& engine, const Request& request) const {
  const ClassSettings& c = state_.settings_of(request);
  const GroupAffinity group = engine.affinity(request.group);
  const double distance = affinity_.distance(engine, request, group.centroid);
  const double own_weight = affinity_.own_weight();
  const double request_hash = unit_interval(mix(engine.name_hash ^ request.id));
  const double group_hash = unit_interval(mix(engine.name_hash ^ mix(request.group + 1)));
  double score = reports_.estimated_load(engine) / kQueriesPerDistance +
                 kHashScore * own_weight * group_hash * (c.is_load ? -1 : 1);
  score += c.is_load ? (1 - own_weight) * request_hash - distance : distance;
  const bool leaves_zone = engine.entry.zone != state_.settings.zone;
  if (leaves_zone) score += kCrossZoneScore * state_.settings.cross_zone_cost;
  if (outliers_.unhealthy(engine)) {
    const bool may_try = limit_.engine_has_capacity(engine, 0) && engine.queue.empty() &&
                         c.idempotency == Idempotency::kIdempotent;
    score += may_try ? -kUnhealthyScore : kUnhealthyScore;
  }
  const double slowness = outliers_.slowness(engine);
  if (slowness > kMinSlowness) score += kSlowScore * (slowness - 1);
  const double retry_score = request.was_last_sent_to(engine.entry.id) ? kRetryScore : 0;
  return add_load_conflicts(score, request, group) + retry_score;
}

const std::vector<ScoredEngine>& EngineSelection::best_engines(const Request& request) {
  best_.clear();
  for (auto& [id, engine] : state_.engines) {
    if (!retries_.engine_allowed(engine, request)) continue;
    const double penalty = slow_start_.allows(engine, request) ? 0 : kNoBudgetScore;
    best_.push_back({score(engine, request) + penalty, &engine});
  }
  const bool pages = state_.settings.memory_pressure == MemoryPressure::kPage;
  const std::size_t count = std::min(pages ? kProbedEnginesPaging : kProbedEngines, best_.size());
  std::partial_sort(best_.begin(), best_.begin() + static_cast<std::ptrdiff_t>(count), best_.end(),
                    [](const ScoredEngine& a, const ScoredEngine& b) { return a.score < b.score; });
  best_.resize(count);
  return best_;
}

bool EngineSelection::probes_useful() const {
  const Settings& settings = state_.settings;
  if (!settings.may_probe || !settings.reports_load || settings.probe_cost > kMaxProbeCost) return false;
  if (!reports_.probes_useful() || state_.own_queries_per_engine.value() > kMaxQueriesPerEngine) return false;
  const bool reports_needed =
      settings.memory_pressure == MemoryPressure::kPage && !reports_.responses_carry_reports();
  return !limit_.at_normal_maximum() || reports_needed;
}

bool EngineSelection::probe(Request& request, const std::vector<ScoredEngine>& best) {
  if (request.probing_until > 0 || !probes_useful()) return false;
  for (const auto& [score, engine] : best) {
    if (outliers_.unhealthy(*engine) || !reports_.may_probe(*engine)) continue;
    engine->probed_at = state_.now;
    state_.emit(Probe{engine->entry.id});
    ++probes_in_flight_;
    request.probing_until = state_.now + kProbeWait;
  }
  return request.probing_until > 0;
}

}  // namespace rookproxy::routing
