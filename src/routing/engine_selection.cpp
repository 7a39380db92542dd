#include "routing/engine_selection.h"

#include <algorithm>
#include <cstddef>

#include "routing/hash.h"

namespace rookproxy::routing {
constexpr double kQueriesPerDistance = 20;  // on an engine, that weigh as much as one unit of distance
constexpr double kHashTilt = 0.4;  // hashed pull beside what we saw: a few instances agree on engines by it
constexpr double kCrossZoneDistance = 10;  // for a point of the goal that leaving the zone costs
constexpr double kUnhealthyScore = 100;    // more than all else: of an engine that does not answer
constexpr double kNoBudgetScore = 50;      // more than all but that: of one that slow start forbids now
constexpr double kSlowFrom = 1.8;          // times the median latency from which an engine counts as slow
constexpr double kSlowScore = 0.5;         // for each time the median beyond the first
constexpr double kLoadConflict = 1.5;      // for meeting a load: further than an engine without the tables
constexpr double kRetryScore = 1;  // of the last attempt's engine: a further one rather goes elsewhere
constexpr std::size_t kProbedEngines = 2;        // for a query ...
constexpr std::size_t kProbedEnginesPaging = 3;  // ... and where engines that run out of memory page
constexpr Time kProbeWait = 15'000;              // us that a query waits for probes
constexpr double kMaxQueriesPerEngine = 1;       // own ones; with more our own sends say enough
constexpr double kMaxProbeCost = 0.02;           // points of the goal

double EngineSelection::add_load_conflicts(double score, const Request& request,
                                           const GroupAffinity& group) const {
  const ClassSettings& c = state_.settings_of(request);
  if (c.waits_for_loads || c.is_load) score += kLoadConflict * group.active_loads;
  if (c.waits_for_loads && state_.now < group.load_seen_until) score += kLoadConflict;
  if (c.is_load) score += kLoadConflict * std::min(1, group.active_readers);
  return score;
}

double EngineSelection::score(const Engine& engine, const Request& request) const {
  const ClassSettings& c = state_.settings_of(request);
  const GroupAffinity group = engine.affinity(request.group);
  const double distance = affinity_.distance(engine, request, group.centroid);
  const double own_weight = affinity_.own_weight();
  const double drawn = unit_interval(mix(engine.name_hash ^ request.id));
  const double agreed = unit_interval(mix(engine.name_hash ^ mix(request.group + 1)));
  double score = reports_.estimated_load(engine) / kQueriesPerDistance +
                 kHashTilt * own_weight * agreed * (c.is_load ? -1 : 1);
  score += c.is_load ? (1 - own_weight) * drawn - distance : distance;
  const bool leaves_zone = engine.entry.zone != state_.settings.zone;
  if (leaves_zone) score += kCrossZoneDistance * state_.settings.cross_zone_cost;
  if (outliers_.unhealthy(engine)) {
    const bool may_try = limit_.engine_has_capacity(engine, 0) && engine.queue.empty() &&
                         c.idempotency == Idempotency::kIdempotent;
    score += may_try ? -kUnhealthyScore : kUnhealthyScore;
  }
  const double slowness = outliers_.slowness(engine);
  if (slowness > kSlowFrom) score += kSlowScore * (slowness - 1);
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

bool EngineSelection::probes_pay() const {
  const Settings& settings = state_.settings;
  if (!settings.may_probe || !settings.reports_load || settings.probe_cost > kMaxProbeCost) return false;
  if (!reports_.probes_pay() || state_.own_queries_per_engine.value() > kMaxQueriesPerEngine) return false;
  const bool reports_needed =
      settings.memory_pressure == MemoryPressure::kPage && !reports_.come_with_responses();
  return !limit_.fully_open() || reports_needed;
}

bool EngineSelection::probe(Request& request, const std::vector<ScoredEngine>& best) {
  if (request.probing_until > 0 || !probes_pay()) return false;
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
