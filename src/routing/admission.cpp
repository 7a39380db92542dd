#include "routing/admission.h"

#include <algorithm>
#include <cmath>

namespace rookproxy::routing {
constexpr double kMixWeight = 0.05;          // of one request in the figures of the present mix
constexpr double kMaxRunTimeWeight = 4;      // mean run times by which one request counts in them at most
constexpr double kWithheldShare = 0.6;       // of the aggregate limit, from work of the least weight
constexpr double kWithholdingSteepness = 2;  // of the way from none to all of that, in spreads of the mix
constexpr double kMinSpread = 0.1;           // of weights, binary logarithm: all alike is not all different
constexpr double kMinWork = 1000;            // us of one thread: less is not told apart
constexpr double kRunTimeMargin = 1.2;   // times its estimated run that a request needs until its objective
constexpr double kMaxAging = 3;          // times its weight that a request gains by waiting
constexpr double kMinLateWeight = 0.15;  // late responses of less weight are not worth an engine's time

static double log_rate(double weight_rate) { return std::log2(std::max(1e-6, weight_rate * 1e6)); }

void Admission::record_request(Request& request) {
  const double run_time = state_.run_time(request);
  state_.mean_run_time.add(run_time, kMixWeight);
  const double relative = std::min(kMaxRunTimeWeight, run_time / std::max(1.0, state_.mean_run_time.value()));
  state_.mean_threads.add(state_.settings_of(request).threads, kMixWeight * relative);
  request.log_weight_rate = log_rate(request.priority_weight / std::max(kMinWork, request.work));
  const double weight = kMixWeight * relative / kMaxRunTimeWeight;
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
  const double lateness = state_.now <= latest_start(request) ? 1 : state_.settings_of(request).late_weight;
  return request.priority_weight * lateness / std::max(kMinWork, request.work);
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
  const int level = priority(request);
  const int threads = state_.settings_of(request).threads;
  const bool fits = limit_.engine_has_capacity(engine, level) && limit_.memory_has_capacity(engine, request);
  if (!fits) return false;
  const bool is_warm = !slow_start_.warming_up(engine);
  if (is_warm && !limit_.aggregate_has_capacity(level, limit_share(request), threads)) return false;
  return retries_.attempt_allowed(request, request.attempts_in_flight) &&
         retries_.engine_allowed(engine, request) && key_allows(request) &&
         slow_start_.allows(engine, request);
}

bool Admission::should_shed(const Request& request) const {
  if (request.completed || request.attempts_in_flight > 0) return false;
  const bool late_is_wanted = state_.settings_of(request).late_weight >= kMinLateWeight;
  return (state_.now > latest_start(request) && !late_is_wanted) || !retries_.time_left(request);
}

}  // namespace rookproxy::routing
