#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "routing/range.h"

namespace rookproxy::routing {
// Threads per core of a fully loaded engine.
constexpr double kThreadsPerCore = 2;
// Added to an engine's factor for a response in time.
constexpr double kEngineFactorIncrease = 0.01;
// Subtracted from an engine's factor for a late response.
constexpr double kEngineFactorDecrease = 0.03;
// Bounds of an engine's limit, as a fraction of its initial value.
constexpr Range kEngineFactor{0.5, 1.5};
// Added to the aggregate factor for a response in time.
constexpr double kAggregateIncrease = 0.014;
// Multiplies the aggregate factor for a late or missing response.
constexpr double kAggregateDecreaseFactor = 0.9;
// Multiplies the aggregate factor when a query waits for an engine's memory.
constexpr double kMemoryPressureDecreaseFactor = 0.95;
// Normal bounds of the aggregate limit, as a fraction of its initial value.
constexpr Range kAggregateFactor{0.1, 1.2};
// Upper bound for an instance that carries several times the mean traffic.
constexpr double kMaxBusyInstanceFactor = 4;
// Fraction of late responses up to which the aggregate limit may exceed its normal maximum.
constexpr double kMaxLateShare = 0.05;
// Weight of one response in the fraction of late ones.
constexpr double kLateShareWeight = 0.05;
// Time for which a request that was held back counts as a sign that the limit is too low.
constexpr Time kLimitedWindow = 1'000'000;
// Allowance for random bursts, in square roots of the limit.
constexpr double kBurstAllowance = 2;
// Time constant of the mean usage.
constexpr double kUsageTimeConstantUs = 5'000'000;
// With more threads than this per engine, the per-engine limits suffice.
constexpr double kMinThreadsPerEngine = 2;
// Fraction of an engine's memory that the grants of all instances may use.
constexpr double kMaxGrantedMemoryShare = 1;

double full_load_threads(double cores) { return kThreadsPerCore * cores; }

bool ConcurrencyLimit::engine_has_capacity(const Engine& engine, int priority) const {
  if (state_.now < engine.ejected_until) return false;
  const double capacity_share = slow_start_.capacity_share(engine);
  if (reports_.shows_full(engine, capacity_share)) return false;
  if (engine.active_attempts == 0) return true;
  // Only one request at a time until the engine responds again.
  if (outliers_.unhealthy(engine)) return false;
  const double own_threads = std::max(1.0, full_load_threads(engine.cores) / state_.effective_instances);
  return engine.threads.at_or_above(priority) <
         engine.concurrency_factor * own_threads * capacity_share / std::max(1.0, outliers_.slowness(engine));
}

bool ConcurrencyLimit::memory_has_capacity(const Engine& engine, const Request& request) const {
  const bool pages = state_.settings.memory_pressure == MemoryPressure::kPage;
  if (!pages || engine.memory_mb <= 0 || engine.granted_memory_mb <= 0) return true;
  return engine.granted_memory_mb + state_.memory_grant(request) <=
         kMaxGrantedMemoryShare * engine.memory_mb / state_.effective_instances;
}

bool ConcurrencyLimit::aggregate_has_capacity(int priority, double limit_share, int threads) {
  const double used = usage_.present.at_or_above(priority);
  const double limit = limit_share * factor_ * start_threads_;
  const double burst_limit = limit + limit_share * factor_ * kBurstAllowance * std::sqrt(2 * start_threads_);
  const bool within_mean = usage_.mean.at_or_above(priority) < limit;
  const bool has_capacity = within_mean ? used < burst_limit : used > 0 && used + threads / 2.0 < limit;
  if (!has_capacity) limited_at_ = state_.now;
  return has_capacity;
}

void ConcurrencyLimit::update_usage() { usage_.update_mean(state_.now, kUsageTimeConstantUs); }

void ConcurrencyLimit::resize(double warm_cores) {
  start_threads_ = full_load_threads(warm_cores) / state_.effective_instances;
}

void ConcurrencyLimit::record_response(Engine& engine, bool in_time) {
  const double change = in_time ? kEngineFactorIncrease : -kEngineFactorDecrease;
  engine.concurrency_factor = kEngineFactor.clamp(engine.concurrency_factor + change);
  set_factor(in_time ? factor_ + kAggregateIncrease : factor_ * kAggregateDecreaseFactor);
}

void ConcurrencyLimit::record_unanswered() { set_factor(factor_ * kAggregateDecreaseFactor); }

void ConcurrencyLimit::record_memory_pressure() { set_factor(factor_ * kMemoryPressureDecreaseFactor); }

void ConcurrencyLimit::set_factor(double factor) {
  const double all_engines_threads = start_threads_ + kMinThreadsPerEngine * state_.serving_engines;
  const double lower =
      std::max(kAggregateFactor.lower, kEngineFactor.upper * start_threads_ / all_engines_threads);
  late_share_.add(factor < factor_ ? 1 : 0, kLateShareWeight);
  const bool may_grow = state_.now - limited_at_ < kLimitedWindow && late_share_.value() < kMaxLateShare;
  const double upper = may_grow ? kMaxBusyInstanceFactor : std::max(kAggregateFactor.upper, factor_);
  factor_ = std::clamp(factor, lower, std::max(upper, lower));
}

bool ConcurrencyLimit::unrestricted() const { return factor_ >= 1; }

bool ConcurrencyLimit::at_normal_maximum() const { return factor_ >= kAggregateFactor.upper; }

}  // namespace rookproxy::routing
