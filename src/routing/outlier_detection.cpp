#include "routing/outlier_detection.h"

#include <algorithm>
#include <utility>

#include "routing/median.h"

namespace rookproxy::routing {
// Weight of an error in an engine's error rate.
constexpr double kErrorWeight = 0.3;
// Weight of a lost connection in the error rate.
constexpr double kLostConnectionWeight = 0.15;
// Fraction of the error rate that is kept at a success.
constexpr double kErrorRateRetained = 0.7;
// Error rate above which an engine fails often, reached by two errors in a row.
constexpr double kMaxErrorRate = 0.45;
// Smallest median latency that slowness is computed with.
constexpr double kMinMedianLatency = 0.2;
// Ejection time after the first failed connect; doubled with each further one in a row.
constexpr Time kBaseEjectionTime = 400'000;
constexpr int kMaxEjectionDoublings = 4;
// Maximum ejection time.
constexpr Time kMaxEjectionTime = 3'000'000;
// An error is attributed to the request if the engine's last success is more recent than this.
constexpr Time kSuccessWindow = 500'000;

bool OutlierDetection::fails_often(const Engine& engine) { return engine.error_rate.value() > kMaxErrorRate; }

bool OutlierDetection::unhealthy(const Engine& engine) const {
  return engine.connect_failures > 0 || (fails_often(engine) && !most_fail_);
}

double OutlierDetection::slowness(const Engine& engine) const {
  return engine.relative_latency.value() / std::max(kMinMedianLatency, median_latency_);
}

void OutlierDetection::update_fleet(std::vector<double> latencies, std::size_t failing_engines) {
  most_fail_ = 2 * failing_engines > latencies.size();
  median_latency_ = median(std::move(latencies));
}

void OutlierDetection::record_success(Engine& engine) const {
  engine.record_success(state_.now);
  engine.error_rate.scale(kErrorRateRetained);
}

bool OutlierDetection::record_failure(Engine& engine, Outcome outcome) const {
  const bool unreachable = outcome == Outcome::kConnectFailed;
  const bool connection_lost = outcome == Outcome::kConnectionLost;
  if (unreachable || connection_lost) {
    const bool is_same_event = std::exchange(engine.connection_lost_at, state_.now) == state_.now;
    // One lost connection ends all its attempts, but counts once.
    if (is_same_event) return false;
  }
  if (unreachable) {
    ++engine.connect_failures;
    // The engine may have just started.
    engine.warming_since = std::max(engine.warming_since, state_.now);
  } else {
    engine.error_rate.add(1, connection_lost ? kLostConnectionWeight : kErrorWeight);
    if (!unhealthy(engine)) return false;
  }
  const Time ejection = kBaseEjectionTime
                        << std::clamp(engine.connect_failures - 1, 0, kMaxEjectionDoublings);
  engine.ejected_until = state_.now + std::min(kMaxEjectionTime, ejection);
  return true;
}

bool OutlierDetection::recently_successful(const Engine& engine) const {
  return engine.last_success_at >= 0 && state_.now - engine.last_success_at < kSuccessWindow;
}

}  // namespace rookproxy::routing
