#include "policy/check_queue.h"

#include <algorithm>
#include <utility>

namespace rookproxy::policy {
namespace {

// Each measured cost enters the moving average with a weight of 1/8.
constexpr int kCostAverageWeight = 8;

constexpr double kMinCpuShareForEstimate = 0.001;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

}  // namespace

CheckQueue::CheckQueue(Limits limits)
    : limits_(limits),
      common_budget_(limits.cpu_share, limits.burst),
      proven_budget_(limits.proven_cpu_share, limits.burst) {}

void CheckQueue::refill_budgets(Time now) {
  common_budget_.refill(now);
  proven_budget_.refill(now);
}

bool CheckQueue::may_run(SourceClass source_class) const {
  if (common_budget_.has_balance()) return true;
  return source_class == SourceClass::kProven && proven_budget_.has_balance();
}

// Proven sources use their own budget first and leave the common one to the other sources.
void CheckQueue::charge(SourceClass source_class, Duration cost) {
  const bool from_proven = source_class == SourceClass::kProven && proven_budget_.has_balance();
  (from_proven ? proven_budget_ : common_budget_).charge(cost);
}

std::deque<CheckQueue::SourceId>& CheckQueue::scheduled_sources(SourceClass source_class) {
  return scheduled_sources_[static_cast<std::size_t>(source_class)];
}

void CheckQueue::schedule_source(SourceId id, Source& source) {
  if (std::exchange(source.is_scheduled, true)) return;
  scheduled_sources(source.source_class).push_back(id);
}

// Whether any check of this class or a class that is served before it is waiting; a new check must not
// overtake those.
bool CheckQueue::has_waiting_up_to(SourceClass source_class) {
  return std::any_of(kSourceClasses.begin(), kSourceClasses.end(), [&](SourceClass candidate) {
    return candidate <= source_class && next_scheduled_source(candidate) != nullptr;
  });
}

CheckQueue::Admission CheckQueue::admit(CheckId id, SourceId source_id, Time now) {
  refill_budgets(now);
  Source& source = sources_[source_id];  // Rehashing an unordered_map keeps references valid.
  if (!has_waiting_up_to(source.source_class) && may_run(source.source_class)) return Admission::kRunNow;
  if (source.waiting.size() >= limits_.max_waiting_per_source) return Admission::kRejected;
  if (source_by_check_.size() >= limits_.max_waiting && !make_space_for(source.source_class)) {
    return Admission::kRejected;
  }
  source.waiting.push_back({id, now});
  source_by_check_[id] = source_id;
  waiting_by_age_.emplace(WaitOrder{now, id}, source_id);
  schedule_source(source_id, source);
  return Admission::kWait;
}

bool CheckQueue::has_waiting(SourceId id) const {
  const auto source = sources_.find(id);
  return source != sources_.end() && !source->second.waiting.empty();
}

// The source that was scheduled last in the lowest class below this one; nothing if no check is waiting in
// those classes.
std::optional<CheckQueue::SourceId> CheckQueue::newest_below(SourceClass source_class) const {
  for (const SourceClass candidate : {SourceClass::kFailing, SourceClass::kUnproven}) {
    if (candidate <= source_class) break;
    const auto& scheduled = scheduled_sources_[static_cast<std::size_t>(candidate)];
    const auto found =
        std::find_if(scheduled.rbegin(), scheduled.rend(), [&](SourceId id) { return has_waiting(id); });
    if (found != scheduled.rend()) return *found;
  }
  return std::nullopt;
}

// Evicts a check of a lower class, if there is one.
bool CheckQueue::make_space_for(SourceClass source_class) {
  const auto victim = newest_below(source_class);
  if (!victim) return false;
  // The evicted check becomes overdue, so that take_overdue() returns it to its caller.
  WaitingCheck& check = sources_[*victim].waiting.back();
  waiting_by_age_.erase({check.since, check.id});
  check.since = Time();
  waiting_by_age_.emplace(WaitOrder{check.since, check.id}, *victim);
  return true;
}

CheckQueue::Source* CheckQueue::next_scheduled_source(SourceClass source_class) {
  auto& scheduled = scheduled_sources(source_class);
  while (!scheduled.empty()) {
    const SourceId id = scheduled.front();
    const auto found = sources_.find(id);
    const bool exists = found != sources_.end();
    if (exists && found->second.source_class == source_class && !found->second.waiting.empty()) {
      return &found->second;
    }
    scheduled.pop_front();
    if (!exists) continue;
    found->second.is_scheduled = false;
    // A source that still has waiting checks has changed its class since it was scheduled.
    if (!found->second.waiting.empty()) schedule_source(id, found->second);
  }
  return nullptr;
}

std::optional<CheckQueue::CheckId> CheckQueue::take_next(Time now) {
  refill_budgets(now);
  for (const SourceClass source_class : kSourceClasses) {
    Source* source = next_scheduled_source(source_class);
    if (!source || !may_run(source_class)) continue;
    auto& scheduled = scheduled_sources(source_class);
    const SourceId source_id = scheduled.front();
    const WaitingCheck check = source->waiting.front();
    source->waiting.pop_front();
    scheduled.pop_front();
    source->is_scheduled = false;
    if (!source->waiting.empty()) schedule_source(source_id, *source);
    source_by_check_.erase(check.id);
    waiting_by_age_.erase({check.since, check.id});
    return check.id;
  }
  return std::nullopt;
}

std::vector<CheckQueue::CheckId> CheckQueue::take_overdue(Time now) {
  std::vector<CheckId> overdue;
  while (!waiting_by_age_.empty()) {
    const WaitOrder oldest = waiting_by_age_.begin()->first;
    if (now - oldest.since < limits_.max_wait) break;
    overdue.push_back(oldest.id);
    cancel(oldest.id);
  }
  return overdue;
}

void CheckQueue::cancel(CheckId id) {
  const auto known = source_by_check_.find(id);
  if (known == source_by_check_.end()) return;
  auto& waiting = sources_[known->second].waiting;
  const auto check = std::find_if(waiting.begin(), waiting.end(),
                                  [&](const WaitingCheck& candidate) { return candidate.id == id; });
  if (check != waiting.end()) {
    waiting_by_age_.erase({check->since, id});
    waiting.erase(check);
  }
  source_by_check_.erase(known);
}

std::optional<Time> CheckQueue::next_wake_time(Time now) const {
  if (waiting_by_age_.empty()) return std::nullopt;
  Time wake_time = waiting_by_age_.begin()->first.since + limits_.max_wait;
  if (common_budget_.share() > 0) wake_time = std::min(wake_time, common_budget_.next_balance_time(now));
  const auto& proven = scheduled_sources_[static_cast<std::size_t>(SourceClass::kProven)];
  if (!proven.empty() && proven_budget_.share() > 0) {
    wake_time = std::min(wake_time, proven_budget_.next_balance_time(now));
  }
  return std::max(wake_time, now);
}

bool CheckQueue::record_check(SourceId source_id, Duration cost, bool is_valid, Time now) {
  refill_budgets(now);
  Source& source = sources_[source_id];
  charge(source.source_class, cost);
  average_cost_ = ((kCostAverageWeight - 1) * average_cost_ + cost) / kCostAverageWeight;
  if (is_valid) {
    source.source_class = SourceClass::kProven;
    source.consecutive_failures = 0;
    return false;
  }
  source.source_class = SourceClass::kFailing;
  return ++source.consecutive_failures >= limits_.max_consecutive_failures;
}

void CheckQueue::remove_source(SourceId source_id) {
  const auto found = sources_.find(source_id);
  if (found == sources_.end()) return;
  for (const WaitingCheck& check : found->second.waiting) {
    waiting_by_age_.erase({check.since, check.id});
    source_by_check_.erase(check.id);
  }
  sources_.erase(found);  // next_scheduled_source() removes its id from the schedule later.
}

Duration CheckQueue::retry_after() const {
  const double cpu_share = std::max(kMinCpuShareForEstimate, limits_.cpu_share);
  const double elapsed_per_check = static_cast<double>(average_cost_.count()) / cpu_share;
  const double total = elapsed_per_check * static_cast<double>(source_by_check_.size());
  return std::clamp(Duration(static_cast<std::int64_t>(total)), kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace rookproxy::policy
