#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "routing/range.h"

namespace rookproxy::routing {
constexpr double kThreadsPerCore = 2;     // at full load; engines lose work beyond one or two
constexpr double kEngineIncrease = 0.01;  // of an engine's factor, for a response in time ...
constexpr double kEngineDecrease = 0.03;  // ... and for a late one: a quarter late is in balance
constexpr Range kEngineFactor{0.5, 1.5};  // of an engine's limit, as share of its start
constexpr double kIncrease = 0.014;  // of the aggregate factor, for a response in time: 14% late in balance
constexpr double kDecrease = 0.9;    // share of it kept for a late response or none
constexpr double kMemoryDecrease = 0.95;  // share of it kept for a query that waits for an engine's memory
constexpr Range kFactor{0.1, 1.2};        // of the aggregate limit, as share of its start ...
constexpr double kMaxLimitedFactor = 4;  // ... where it binds an instance with several times the mean traffic
constexpr double kMaxLateShare = 0.05;   // of responses, for it to grow so far
constexpr double kLateWeight = 0.05;     // of one response in the share of late ones
constexpr Time kLimitedWindow = 1'000'000;        // us; held back this lately counts as held back
constexpr double kBurst = 2;                      // room for chance, in square roots of the limit
constexpr double kUsageTimeConstant = 5'000'000;  // us, of the mean usage: what lasts as long is no chance
constexpr double kMinThreadsPerEngine = 2;  // limits of more threads than this bound engines by themselves
constexpr double kMemoryShare = 1;  // of an engine's memory for all instances' grants; 0.7 to 1.7 did worse

double full_load_threads(double cores) { return kThreadsPerCore * cores; }

bool ConcurrencyLimit::engine_has_capacity(const Engine& engine, int priority) const {
  if (state_.now < engine.ejected_until) return false;
  const double capacity_share = slow_start_.capacity_share(engine);
  if (reports_.shows_full(engine, capacity_share)) return false;
  if (engine.active_attempts == 0) return true;
  if (outliers_.unhealthy(engine)) return false;  // one at a time until it responds again
  const double our_threads = std::max(1.0, full_load_threads(engine.cores) / state_.effective_instances);
  return engine.threads.at_or_above(priority) <
         engine.concurrency_factor * our_threads * capacity_share / std::max(1.0, outliers_.slowness(engine));
}

bool ConcurrencyLimit::memory_has_capacity(const Engine& engine, const Request& request) const {
  const bool pages = state_.settings.memory_pressure == MemoryPressure::kPage;
  if (!pages || engine.memory_mb <= 0 || engine.granted_memory_mb <= 0) return true;
  return engine.granted_memory_mb + state_.memory_grant(request) <=
         kMemoryShare * engine.memory_mb / state_.effective_instances;
}

bool ConcurrencyLimit::aggregate_has_capacity(int priority, double limit_share, int threads) {
  const double used = usage_.present.at_or_above(priority);
  const double limit = limit_share * factor_ * start_threads_;
  const double burst_limit = limit + limit_share * factor_ * kBurst * std::sqrt(2 * start_threads_);
  const bool within_mean = usage_.mean.at_or_above(priority) < limit;
  const bool has_capacity = within_mean ? used < burst_limit : used > 0 && used + threads / 2.0 < limit;
  if (!has_capacity) limited_at_ = state_.now;
  return has_capacity;
}

void ConcurrencyLimit::update_usage() { usage_.update_mean(state_.now, kUsageTimeConstant); }

void ConcurrencyLimit::resize(double warm_cores) {
  start_threads_ = full_load_threads(warm_cores) / state_.effective_instances;
}

void ConcurrencyLimit::record_response(Engine& engine, bool in_time) {
  const double change = in_time ? kEngineIncrease : -kEngineDecrease;
  engine.concurrency_factor = kEngineFactor.clamp(engine.concurrency_factor + change);
  set_factor(in_time ? factor_ + kIncrease : factor_ * kDecrease);
}

void ConcurrencyLimit::record_unanswered() { set_factor(factor_ * kDecrease); }

void ConcurrencyLimit::record_memory_pressure() { set_factor(factor_ * kMemoryDecrease); }

void ConcurrencyLimit::set_factor(double factor) {
  const double all_engines_threads = start_threads_ + kMinThreadsPerEngine * state_.serving_engines;
  const double least = std::max(kFactor.least, kEngineFactor.most * start_threads_ / all_engines_threads);
  late_share_.add(factor < factor_ ? 1 : 0, kLateWeight);
  const bool may_grow = state_.now - limited_at_ < kLimitedWindow && late_share_.value() < kMaxLateShare;
  const double most = may_grow ? kMaxLimitedFactor : std::max(kFactor.most, factor_);
  factor_ = std::clamp(factor, least, std::max(most, least));
}

bool ConcurrencyLimit::unrestricted() const { return factor_ >= 1; }

bool ConcurrencyLimit::fully_open() const { return factor_ >= kFactor.most; }

}  // namespace rookproxy::routing
