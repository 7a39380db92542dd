#include "routing/outlier_detection.h"

#include <algorithm>
#include <utility>

#include "routing/median.h"

namespace rookproxy::routing {
constexpr double kErrorWeight = 0.3;            // of an error in an engine's error rate
constexpr double kLostConnectionWeight = 0.15;  // of a broken connection in it, which may be its peer's fault
constexpr double kErrorRateRetained = 0.7;      // share of the error rate kept at a success
constexpr double kMaxErrorRate = 0.45;          // beyond, one request at a time: two errors in a row
constexpr double kMinMedianLatency = 0.2;       // of relative latencies, that slowness is measured by
constexpr Time kEjection = 400'000;             // us, doubled with each failed connect in a row ...
constexpr int kMaxDoublings = 4;
constexpr Time kMaxEjection = 3'000'000;  // ... up to this
constexpr Time kSuccessWindow = 500'000;  // us; a success this late outweighs an error

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
    if (is_same_event) return false;  // it ended many attempts
  }
  if (unreachable) {
    ++engine.connect_failures;
    engine.warming_since = std::max(engine.warming_since, state_.now);  // it may have just started
  } else {
    engine.error_rate.add(1, connection_lost ? kLostConnectionWeight : kErrorWeight);
    if (!unhealthy(engine)) return false;
  }
  const Time ejection = kEjection << std::clamp(engine.connect_failures - 1, 0, kMaxDoublings);
  engine.ejected_until = state_.now + std::min(kMaxEjection, ejection);
  return true;
}

bool OutlierDetection::recently_successful(const Engine& engine) const {
  return engine.last_success_at >= 0 && state_.now - engine.last_success_at < kSuccessWindow;
}

}  // namespace rookproxy::routing
