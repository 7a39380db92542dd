#include "routing/attempt_monitor.h"

#include <algorithm>

#include "routing/range.h"
#include "routing/streaming_median.h"

namespace rookproxy::routing {
constexpr double kBadPlanFactor = 6;       // an attempt this many times slower than its class's is a bad plan
constexpr double kRateStep = 0.03;         // of the running median of a class's progress rate ...
constexpr Range kRate{0.02, 5};            // ... which is kept in this range
constexpr double kMinShareDone = 0.001;    // that progress counts as at least
constexpr Time kMinBadPlanAge = 350'000;   // us; progress before this says too little
constexpr double kMinTypicalRate = 0.05;   // by which the time of another attempt is told
constexpr double kSilentIntervals = 2.5;   // progress intervals without a word: the attempt is taken for lost
constexpr double kLostWeight = 0.05;       // of one attempt in the share of lost ones
constexpr double kMinLostShare = 0.03;     // from which overdue attempts aren't waited for: ...
constexpr double kOverdueFactor = 2.5;     // ... times the usual latency ...
constexpr double kOverdueMargin = 50'000;  // ... plus this, us

void AttemptMonitor::record_loss(bool lost) { lost_share_.add(lost ? 1 : 0, kLostWeight); }

bool AttemptMonitor::runs_badly(const Request& request, const Attempt& attempt, double share_done) {
  const Time age = state_.now - attempt.sent_at;
  if (age < kMinBadPlanAge || state_.stalled) return false;
  const auto elapsed = static_cast<double>(age);
  const double done = std::clamp(share_done, kMinShareDone, 1.0);
  const double run_time = state_.run_time(request);
  const double rate = done * run_time / elapsed;
  const double remaining = elapsed * (1 - done) / done;
  double& known_rate = state_.class_of(request).progress_rate;
  const double median = known_rate;
  known_rate = kRate.clamp(step_median(median, rate, kRateStep));
  return rate * kBadPlanFactor < median && remaining > 2 * run_time / std::max(kMinTypicalRate, median);
}

bool AttemptMonitor::is_watched(const Request& request) const {
  if (request.completed || request.attempts_in_flight == 0) return false;
  const Attempt& attempt = request.attempts.back();
  return state_.settings.progress_interval && attempt.in_flight && !attempt.presumed_lost &&
         !attempt.cancelled && !attempt.waiting_for_memory;
}

bool AttemptMonitor::is_silent(const Attempt& attempt) const {
  const auto interval = static_cast<double>(*state_.settings.progress_interval);
  const auto since_any_sign = static_cast<double>(state_.now - last_sign_at_);
  const auto unheard = static_cast<double>(state_.now - std::max(attempt.last_update_at, state_.stalled_at));
  return last_update_at_ > 0 && since_any_sign < 2 * interval && unheard > kSilentIntervals * interval;
}

bool AttemptMonitor::is_overdue(const Request& request, const Attempt& attempt) const {
  if (attempt.sent_at <= state_.stalled_at || lost_share_.value() <= kMinLostShare) return false;
  if (attempt.last_update_at != attempt.sent_at) return false;
  const double usual = state_.class_of(request).latency_ratio.value() * state_.run_time(request);
  return static_cast<double>(state_.now - attempt.sent_at) > kOverdueFactor * usual + kOverdueMargin;
}

}  // namespace rookproxy::routing
