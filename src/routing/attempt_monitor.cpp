#include "routing/attempt_monitor.h"

#include <algorithm>

#include "routing/range.h"
#include "routing/streaming_median.h"

namespace rookproxy::routing {
// An attempt that is slower than its class's median by this factor has a bad plan.
constexpr double kBadPlanFactor = 6;
// Step of the streaming median of a class's progress rate.
constexpr double kProgressRateStep = 0.03;
// Bounds of a class's progress rate.
constexpr Range kProgressRate{0.02, 5};
// Smallest fraction done that is assumed.
constexpr double kMinShareDone = 0.001;
// Age from which progress is judged.
constexpr Time kMinBadPlanAge = 350'000;
// Smallest median rate used to predict the time of another attempt.
constexpr double kMinMedianRate = 0.05;
// Progress intervals without an update after which an attempt is presumed lost.
constexpr double kSilentIntervals = 2.5;
// Weight of one attempt in the fraction of lost ones.
constexpr double kLostWeight = 0.05;
// Fraction of lost attempts from which overdue attempts are retried.
constexpr double kMinLostShare = 0.03;
// An attempt is overdue after this multiple of the typical latency plus kOverdueMarginUs.
constexpr double kOverdueFactor = 2.5;
constexpr double kOverdueMarginUs = 50'000;

void AttemptMonitor::record_loss(bool lost) { lost_share_.add(lost ? 1 : 0, kLostWeight); }

bool AttemptMonitor::runs_too_slowly(const Request& request, const Attempt& attempt, double share_done) {
  const Time age = state_.now - attempt.sent_at;
  if (age < kMinBadPlanAge || state_.stalled) return false;
  const auto elapsed = static_cast<double>(age);
  const double done = std::clamp(share_done, kMinShareDone, 1.0);
  const double run_time = state_.run_time(request);
  const double rate = done * run_time / elapsed;
  const double remaining = elapsed * (1 - done) / done;
  double& known_rate = state_.class_of(request).progress_rate;
  const double median = known_rate;
  known_rate = kProgressRate.clamp(step_median(median, rate, kProgressRateStep));
  return rate * kBadPlanFactor < median && remaining > 2 * run_time / std::max(kMinMedianRate, median);
}

bool AttemptMonitor::is_monitored(const Request& request) const {
  if (request.completed || request.attempts_in_flight == 0) return false;
  const Attempt& attempt = request.attempts.back();
  return state_.settings.progress_interval && attempt.in_flight && !attempt.presumed_lost &&
         !attempt.cancelled && !attempt.waiting_for_memory;
}

bool AttemptMonitor::is_silent(const Attempt& attempt) const {
  const auto interval = static_cast<double>(*state_.settings.progress_interval);
  const auto since_any_activity = static_cast<double>(state_.now - last_activity_at_);
  const auto since_last_update =
      static_cast<double>(state_.now - std::max(attempt.last_update_at, state_.stalled_at));
  return last_update_at_ > 0 && since_any_activity < 2 * interval &&
         since_last_update > kSilentIntervals * interval;
}

bool AttemptMonitor::is_overdue(const Request& request, const Attempt& attempt) const {
  if (attempt.sent_at <= state_.stalled_at || lost_share_.value() <= kMinLostShare) return false;
  if (attempt.last_update_at != attempt.sent_at) return false;
  const double typical = state_.class_of(request).latency_ratio.value() * state_.run_time(request);
  return static_cast<double>(state_.now - attempt.sent_at) > kOverdueFactor * typical + kOverdueMarginUs;
}

}  // namespace rookproxy::routing
