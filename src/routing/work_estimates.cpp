#include "routing/work_estimates.h"

#include <algorithm>

#include "routing/range.h"
#include "routing/streaming_median.h"

namespace rookproxy::routing {
// Weight of one response in a class's moving averages.
constexpr double kSampleWeight = 0.05;
// Multiple of a class's mean work at which the work of one request is capped.
constexpr double kMaxWorkRatio = 20;
// Smallest run time that is distinguished.
constexpr double kMinRunTimeUs = 1000;
// Assumed ratio of a class's objective to its run time before the first response.
constexpr double kInitialObjectiveOverRunTime = 3;
// Bounds of the ratio of latency to run time of one response.
constexpr Range kLatencyRatio{0.05, 50};
// Multiple of a class's mean latency ratio at which one response is capped.
constexpr double kMaxLatencyRatioStep = 4;
// Multiple of its class's latency ratio at which a response counts for its engine.
constexpr double kMaxRelativeLatency = 8;
// Bounds of the weight of one response in an engine's relative latency.
constexpr Range kEngineWeight{0.1, 0.3};
// Time since the engine's last response, divided by this, is the weight of the next one.
constexpr double kFullWeightAgeUs = 20'000'000;
// Step of the streaming median of latencies where the work is not known otherwise.
constexpr double kWorkStep = 0.08;
// Smaller step while responses are late, when latencies depend on the load of engines and less on work.
constexpr double kLateWorkStep = kWorkStep / 5;
// Bounds of the learned ratio of actual to estimated work.
constexpr Range kBias{0.1, 10};
// Bounds of that ratio in one response.
constexpr Range kBiasSample{0.2, 2};
// Initial ratio of granted to estimated memory.
constexpr double kInitialGrantFactor = 1.25;
// Relative increase of that ratio when a query spills.
constexpr double kGrantIncrease = 0.05;
// Relative decrease of that ratio when a query does not spill.
constexpr double kGrantDecrease = 0.008;
// Bounds of that ratio.
constexpr Range kGrantFactor{1, 4};

ClassState WorkEstimates::initial_state(const ClassSettings& settings) {
  const auto objective = static_cast<double>(settings.latency_objective);
  ClassState state;
  state.mean_work = ExponentialAverage(std::max(kMinRunTimeUs, objective) / kInitialObjectiveOverRunTime *
                                       settings.threads);
  state.grant_factor = kInitialGrantFactor;
  state.work_by_latency = ExponentialAverage(objective * settings.threads);
  return state;
}

void WorkEstimates::estimate(Request& request, const RequestArrived& arrived) {
  ClassState& class_state = state_.class_of(request);
  request.has_estimate = arrived.work.has_value();
  request.work = arrived.work ? *arrived.work * class_state.estimate_bias : class_state.mean_work.value();
  if (!arrived.work) return;
  class_state.mean_work.add(std::min(request.work, kMaxWorkRatio * class_state.mean_work.value()),
                            kSampleWeight);
  class_state.work_by_latency = ExponentialAverage();
}

double WorkEstimates::record_latency(const Request& request, Engine& engine, Time latency) {
  const double run_time = std::max(kMinRunTimeUs, state_.run_time(request));
  const double ratio = kLatencyRatio.clamp(static_cast<double>(latency) / run_time);
  const double age = static_cast<double>(state_.now - engine.latency_updated_at) / kFullWeightAgeUs;
  const double typical = state_.class_of(request).latency_ratio.value();
  engine.relative_latency.add(std::min(ratio / typical, kMaxRelativeLatency), kEngineWeight.clamp(age));
  engine.latency_updated_at = state_.now;
  return ratio;
}

void WorkEstimates::record_response(const Request& request, Engine& engine, const AttemptEnded& ended) {
  ClassState& class_state = state_.class_of(request);
  const double ratio = record_latency(request, engine, ended.latency);
  const double lower_grant_factor =
      std::max(kGrantFactor.lower, class_state.grant_factor * (1 - kGrantDecrease));
  if (!request.attempts[ended.attempt].spilled) class_state.grant_factor = lower_grant_factor;
  class_state.latency_ratio.add(std::min(ratio, kMaxLatencyRatioStep * class_state.latency_ratio.value()),
                                kSampleWeight);
  if (!ended.work && !request.has_estimate) {
    const double work_from_latency = static_cast<double>(ended.latency) * state_.settings_of(request).threads;
    class_state.work_by_latency.add(work_from_latency,
                                    std::max(kSampleWeight, 1 / ++class_state.latency_samples));
    const double step = limit_.unrestricted() ? kWorkStep : kLateWorkStep;
    class_state.mean_work =
        ExponentialAverage(step_median(class_state.mean_work.value(), work_from_latency, step));
  }
  if (ended.work && request.work > 0) {
    const double bias = kBiasSample.clamp(*ended.work / request.work);
    class_state.estimate_bias = kBias.clamp(class_state.estimate_bias * (1 + kSampleWeight * (bias - 1)));
  }
}

void WorkEstimates::record_spill(const Request& request) {
  ClassState& class_state = state_.class_of(request);
  class_state.grant_factor = std::min(kGrantFactor.upper, class_state.grant_factor * (1 + kGrantIncrease));
}

}  // namespace rookproxy::routing
