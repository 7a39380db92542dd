#include "routing/slow_start.h"

#include <algorithm>
#include <cmath>

#include "routing/hash.h"

namespace rookproxy::routing {
// Fraction of its part of the budget that an instance uses, since work may be underestimated by half.
constexpr double kBudgetShare = 0.5;
// Parts below this many queries of mean work are replaced by time slots.
constexpr double kMinQueriesPerPart = 2;
// Multiple of its class's mean work that is assumed for a query without an estimate.
constexpr double kUnestimatedWorkFactor = 3;
// Fraction of the budget that is allotted to time slots.
constexpr double kSlotBudgetShare = 0.5;
// Upper bound of the work allotted to time slots, as a fraction of the engine's current capacity.
constexpr double kMaxSlotCapacityShare = 1.2;
// Largest fraction of the budget of all instances that one query in a time slot may use.
constexpr double kMaxQueryShare = 0.3;
// Fraction of its cores that an engine keeps busy at full capacity.
constexpr double kCapacityUtilization = 0.85;

double SlowStartLimiter::warming_capacity_share(const Engine& engine) const {
  const SlowStart& slow_start = *state_.settings.slow_start;
  // The clocks of hosts may differ.
  const Time elapsed = std::max<Time>(0, state_.now - engine.warming_since);
  const double age = static_cast<double>(elapsed) / static_cast<double>(slow_start.warm_up_period);
  return slow_start.initial_share + (1 - slow_start.initial_share) * age * age;
}

double SlowStartLimiter::budget(const Engine& engine) const {
  const SlowStart& slow_start = *state_.settings.slow_start;
  return kBudgetShare * slow_start.overload_factor * capacity_share(engine) * kCapacityUtilization *
         engine.cores * static_cast<double>(slow_start.overload_window) / state_.settings.instance_count;
}

bool SlowStartLimiter::budget_allows(Engine& engine, const Request& request) const {
  engine.warm_up_sends.drop_until(state_.now - state_.settings.slow_start->overload_window);
  const double mean = state_.class_of(request).conservative_work();
  const double work = std::max(mean, request.work) * (request.has_estimate ? 1 : kUnestimatedWorkFactor);
  if (budget(engine) < kMinQueriesPerPart * mean) return has_time_slot(engine, request, work);
  return engine.warm_up_sends.total_with(work) <= budget(engine);
}

bool SlowStartLimiter::has_time_slot(const Engine& engine, const Request& request, double work) const {
  const SlowStart& slow_start = *state_.settings.slow_start;
  const auto window = static_cast<double>(slow_start.overload_window);
  const double capacity = kCapacityUtilization * engine.cores;
  // The engine may stay at its initial share until the end of its warm-up.
  const double least_budget = slow_start.overload_factor * slow_start.initial_share * capacity * window;
  if (!engine.warm_up_sends.empty() || work > kMaxQueryShare * least_budget) return false;
  const double rate = std::min(kSlotBudgetShare * slow_start.overload_factor, kMaxSlotCapacityShare) *
                      capacity / static_cast<double>(state_.classes.size());
  const auto age = static_cast<double>(state_.now - engine.warming_since);
  // The capacity share grows with the square of the age, so its mean since the start is a third of this sum.
  const double allotted = rate * age * (2 * slow_start.initial_share + capacity_share(engine)) / 3;
  const double round = state_.class_of(request).conservative_work() * state_.settings.instance_count;
  const double slot_offset = (state_.settings.instance_index + 0.5) / state_.settings.instance_count +
                             unit_interval(mix(engine.name_hash ^ request.class_index));
  const double slots = allotted / round - (slot_offset - std::floor(slot_offset));
  return slots >= 0 && (slots - std::floor(slots)) * round <= rate * capacity_share(engine) * window;
}

void SlowStartLimiter::record_send(Engine& engine, const Request& request) const {
  if (!warming_up(engine)) return;
  engine.warm_up_sends.add(state_.now, std::max(state_.class_of(request).conservative_work(), request.work));
}

void SlowStartLimiter::record_restart(Engine& engine) const {
  if (!warming_up(engine) || engine.warming_since >= state_.first_event_at) return;
  engine.warm_up_sends.add(state_.first_event_at, budget(engine));
}

}  // namespace rookproxy::routing
