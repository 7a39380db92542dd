#include "routing/load_reports.h"

#include <algorithm>
#include <cmath>

#include "routing/concurrency_limit.h"

namespace rookproxy::routing {
// Confidence in a report that has just arrived.
constexpr double kFreshConfidence = 0.9;
// Half-life of the confidence in a report.
constexpr double kReportHalfLifeUs = 1'000'000;
// Fraction of the confidence in all reports that is kept when an engine that was reported with free capacity
// rejects a request.
constexpr double kConfidenceRetained = 0.3;
// Half-life of the loss of confidence after such a rejection.
constexpr double kConfidenceLossHalfLifeUs = 20'000'000;
// Below this confidence in reports, no probes are sent.
constexpr double kMinProbeConfidence = 0.5;
// Minimum interval between probes of one engine.
constexpr Time kMinProbeInterval = 300'000;
// An engine that reports a higher ratio of granted to installed memory is full.
constexpr double kMaxMemoryOvercommit = 1.2;
// Weight of the assumption of an even spread against own attempts, in queries.
constexpr double kEvenSpreadQueries = 4;

double LoadReports::confidence() const {
  // Avoids computing the exponential for every engine of every query.
  if (confidence_loss_ == 0) return 1;
  return 1 - confidence_loss_ * std::exp2(-static_cast<double>(state_.now - confidence_lost_at_) /
                                          kConfidenceLossHalfLifeUs);
}

double LoadReports::confidence(const Engine& engine) const {
  if (engine.reported_at == kNever) return 0;
  return confidence() * kFreshConfidence *
         std::exp2(-static_cast<double>(state_.now - engine.reported_at) /
                   (kReportHalfLifeUs * engine.memory_overcommit));
}

bool LoadReports::probes_useful() const { return confidence() >= kMinProbeConfidence; }

bool LoadReports::may_probe(const Engine& engine) const {
  return state_.now - engine.probed_at >= kMinProbeInterval;
}

bool LoadReports::record(Engine& engine, const LoadReport& report) const {
  if (state_.settings.instance_count == 1) return false;
  double queries = report.active_queries.value_or(-1);
  if (queries < 0) {
    const double used = std::max({report.cpu_utilization.value_or(-1), report.memory_utilization.value_or(-1),
                                  report.disk_utilization.value_or(-1)});
    if (used < 0) return false;
    const double busy = std::min(1.0, used);
    queries = engine.cores * std::max(busy + 0.1 * busy / (1.05 - busy), used > 1 ? 3 * used : 0.0) /
              state_.mean_threads.value();
  }
  const bool pages = state_.settings.memory_pressure == MemoryPressure::kPage;
  const double overcommit = pages ? std::max(1.0, report.memory_utilization.value_or(1)) : 1;
  queries += std::max(0.0, report.queries_waiting_for_memory.value_or(0));
  engine.record_report(queries, overcommit, state_.now);
  return overcommit > 1;
}

void LoadReports::record_rejection(const Engine& engine) {
  if (engine.reported_at == kNever) return;
  if (static_cast<double>(state_.now - engine.reported_at) > 2 * kReportHalfLifeUs) return;
  if (engine.reported_queries * state_.mean_threads.value() >= full_load_threads(engine.cores)) return;
  confidence_loss_ = 1 - kConfidenceRetained * confidence();
  confidence_lost_at_ = state_.now;
}

double LoadReports::estimated_load(const Engine& engine) const {
  const double own = engine.active_attempts;
  const auto queued = static_cast<double>(engine.queue.size());
  const double even_share = std::max(state_.own_queries_per_engine.value(), 0.01);
  const double others =
      (state_.effective_instances - 1) * (kEvenSpreadQueries + own) / (kEvenSpreadQueries / even_share + 1);
  const double extrapolated = own + queued + others;
  const double reported = engine.reported_queries + engine.sent_since_report;
  const double report_confidence = confidence(engine);
  return (report_confidence * reported + (1 - report_confidence) * extrapolated) * state_.mean_cores /
         engine.cores;
}

double LoadReports::queue_depth(const Engine& engine) const {
  const auto age = static_cast<double>(state_.now - engine.reported_at);
  return engine.reported_queries * std::exp(-age / std::max(1000.0, state_.mean_run_time.value())) +
         engine.sent_since_report;
}

bool LoadReports::shows_full(const Engine& engine, double capacity_share) const {
  return confidence(engine) > kFreshConfidence / 2 && (engine.memory_overcommit > kMaxMemoryOvercommit ||
                                                       queue_depth(engine) * state_.mean_threads.value() >=
                                                           full_load_threads(engine.cores) * capacity_share);
}

}  // namespace rookproxy::routing
