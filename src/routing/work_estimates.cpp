#include "routing/work_estimates.h"

#include <algorithm>

#include "routing/range.h"
#include "routing/streaming_median.h"

namespace rookproxy::routing {
constexpr double kSampleWeight = 0.05;  // of one response in a class's running means
constexpr double kMaxWorkRatio = 20;    // times a class's mean work that one request counts in it at most
constexpr double kMinRunTime = 1000;    // us; less is not told apart
constexpr double kObjectiveOverRunTime = 3;    // of a class, before anything is known of it
constexpr Range kLatencyRatio{0.05, 50};       // latency over run time, as one response may tell it
constexpr double kMaxRatioStep = 4;            // times a class's mean ratio that one response counts at most
constexpr double kMaxRelativeLatency = 8;      // times its class's ratio that a response counts for an engine
constexpr Range kEngineWeight{0.1, 0.3};       // of one response in an engine's relative latency: more ...
constexpr double kFullWeightAge = 20'000'000;  // ... where they are rare: the age of the last, us, over this
constexpr double kWorkStep = 0.08;             // of the running median of latencies, where nothing tells work
constexpr double kLateWorkStep = kWorkStep / 5;  // late responses tell of engines, not of work
constexpr Range kBias{0.1, 10};                  // true work over estimate, as it is learnt ...
constexpr Range kBiasSample{0.2, 2};             // ... and as one response may tell it
constexpr double kInitialGrant = 1.25;           // memory granted over the estimate
constexpr double kGrantIncrease = 0.05;          // of it for a query that spills ...
constexpr double kGrantDecrease = 0.008;         // ... and for one that does not: about one in seven spills
constexpr Range kGrant{1, 4};                    // more keeps queues waiting for memory that nothing needs

ClassState WorkEstimates::initial_state(const ClassSettings& settings) {
  const auto objective = static_cast<double>(settings.latency_objective);
  ClassState state;
  state.mean_work =
      ExponentialAverage(std::max(kMinRunTime, objective) / kObjectiveOverRunTime * settings.threads);
  state.grant_factor = kInitialGrant;
  state.work_by_latency = ExponentialAverage(objective * settings.threads);
  return state;
}

void WorkEstimates::estimate(Request& request, const RequestArrived& arrived) {
  ClassState& known = state_.class_of(request);
  request.has_estimate = arrived.work.has_value();
  request.work = arrived.work ? *arrived.work * known.estimate_bias : known.mean_work.value();
  if (!arrived.work) return;
  known.mean_work.add(std::min(request.work, kMaxWorkRatio * known.mean_work.value()), kSampleWeight);
  known.work_by_latency = ExponentialAverage();
}

double WorkEstimates::record_latency(const Request& request, Engine& engine, Time latency) {
  const double run_time = std::max(kMinRunTime, state_.run_time(request));
  const double ratio = kLatencyRatio.clamp(static_cast<double>(latency) / run_time);
  const double age = static_cast<double>(state_.now - engine.latency_updated_at) / kFullWeightAge;
  const double usual = state_.class_of(request).latency_ratio.value();
  engine.relative_latency.add(std::min(ratio / usual, kMaxRelativeLatency), kEngineWeight.clamp(age));
  engine.latency_updated_at = state_.now;
  return ratio;
}

void WorkEstimates::record_response(const Request& request, Engine& engine, const AttemptEnded& ended) {
  ClassState& known = state_.class_of(request);
  const double ratio = record_latency(request, engine, ended.latency);
  const double less_grant = std::max(kGrant.least, known.grant_factor * (1 - kGrantDecrease));
  if (!request.attempts[ended.attempt].spilled) known.grant_factor = less_grant;
  known.latency_ratio.add(std::min(ratio, kMaxRatioStep * known.latency_ratio.value()), kSampleWeight);
  if (!ended.work && !request.has_estimate) {
    const double taken = static_cast<double>(ended.latency) * state_.settings_of(request).threads;
    known.work_by_latency.add(taken, std::max(kSampleWeight, 1 / ++known.latency_samples));
    const double step = limit_.unrestricted() ? kWorkStep : kLateWorkStep;
    known.mean_work = ExponentialAverage(step_median(known.mean_work.value(), taken, step));
  }
  if (ended.work && request.work > 0) {
    const double bias = kBiasSample.clamp(*ended.work / request.work);
    known.estimate_bias = kBias.clamp(known.estimate_bias * (1 + kSampleWeight * (bias - 1)));
  }
}

void WorkEstimates::record_spill(const Request& request) {
  ClassState& known = state_.class_of(request);
  known.grant_factor = std::min(kGrant.most, known.grant_factor * (1 + kGrantIncrease));
}

}  // namespace rookproxy::routing
