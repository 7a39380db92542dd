#include "routing/admission.h"

#include <algorithm>
#include <cmath>

namespace rookproxy::routing {
// Weight of one request in the statistics of the current mix.
constexpr double kMixSampleWeight = 0.05;
// Run time, in multiples of the mean, at which the weight of a request in these statistics is capped.
constexpr double kMaxRunTimeWeight = 4;
// Fraction of the aggregate limit that is withheld from work with the least weight.
constexpr double kWithheldShare = 0.6;
// Steepness of the transition between withholding nothing and all of it, per deviation of the mix.
constexpr double kWithholdingSteepness = 2;
// Smallest deviation of binary logarithms that is assumed.
constexpr double kMinSpread = 0.1;
// Smallest work that is distinguished, in microseconds of one thread.
constexpr double kMinWorkUs = 1000;
// Multiple of its estimated run time that a request needs before its objective.
constexpr double kRunTimeMargin = 1.2;
// Largest increase of a request's rank by waiting, as a multiple of its weight.
constexpr double kMaxAging = 3;
// Classes with a lower late weight are not served late.
constexpr double kMinLateWeight = 0.15;

static double log_rate(double weight_rate) { return std::log2(std::max(1e-6, weight_rate * 1e6)); }

void Admission::record_request(Request& request) {
  const double run_time = state_.run_time(request);
  state_.mean_run_time.add(run_time, kMixSampleWeight);
  const double relative = std::min(kMaxRunTimeWeight, run_time / std::max(1.0, state_.mean_run_time.value()));
  state_.mean_threads.add(state_.settings_of(request).threads, kMixSampleWeight * relative);
  request.log_weight_rate = log_rate(request.priority_weight / std::max(kMinWorkUs, request.work));
  const double weight = kMixSampleWeight * relative / kMaxRunTimeWeight;
  log_weight_rate_.add(request.log_weight_rate, weight);
  log_weight_rate_spread_.add(std::abs(request.log_weight_rate - log_weight_rate_.value()), weight);
}

int Admission::priority(const Request& request) const {
  if (!state_.settings.priorities_supported) return 0;
  if (limit_.unrestricted()) {
    const ClassSettings& c = state_.settings_of(request);
    if (c.is_load) return 2;
    return c.threads == 1 ? 3 : 1;
  }
  const double mean = log_weight_rate_.value();
  if (request.log_weight_rate > mean + log_weight_rate_spread_.value()) return 3;
  return request.log_weight_rate > mean ? 2 : 1;
}

Time Admission::latest_start(const Request& request) const {
  return request.objective_at - static_cast<Time>(state_.run_time(request) * kRunTimeMargin);
}

double Admission::weight_rate(const Request& request) const {
  const double weight_factor =
      state_.now <= latest_start(request) ? 1 : state_.settings_of(request).late_weight;
  return request.priority_weight * weight_factor / std::max(kMinWorkUs, request.work);
}

double Admission::rank(const Request& request) const {
  const auto slack = static_cast<double>(std::max<Time>(1, latest_start(request) - request.arrived_at));
  const auto waited = static_cast<double>(state_.now - request.arrived_at);
  return weight_rate(request) * (1 + kMaxAging * std::min(1.0, waited / slack));
}

double Admission::limit_share(const Request& request) const {
  const double steepness = kWithholdingSteepness / std::max(kMinSpread, log_weight_rate_spread_.value());
  const double above_mean = log_rate(weight_rate(request)) - log_weight_rate_.value();
  return 1 - kWithheldShare / (1 + std::exp2(steepness * above_mean));
}

bool Admission::key_allows(const Request& request) const {
  if (!keys_.is_ordered(request)) return true;
  if (!keys_.is_first(request)) return false;
  return !request.attempts.empty() || !keys_.in_cooldown(request);
}

bool Admission::may_start(Engine& engine, const Request& request) const {
  const int request_priority = priority(request);
  const int threads = state_.settings_of(request).threads;
  const bool fits =
      limit_.engine_has_capacity(engine, request_priority) && limit_.memory_has_capacity(engine, request);
  if (!fits) return false;
  const bool is_warm = !slow_start_.warming_up(engine);
  if (is_warm && !limit_.aggregate_has_capacity(request_priority, limit_share(request), threads))
    return false;
  return retries_.attempt_allowed(request, request.attempts_in_flight) &&
         retries_.engine_allowed(engine, request) && key_allows(request) &&
         slow_start_.allows(engine, request);
}

bool Admission::should_shed(const Request& request) const {
  if (request.completed || request.attempts_in_flight > 0) return false;
  const bool late_is_wanted = state_.settings_of(request).late_weight >= kMinLateWeight;
  return (state_.now > latest_start(request) && !late_is_wanted) || !retries_.has_time_left(request);
}

}  // namespace rookproxy::routing
