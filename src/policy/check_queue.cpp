#include "policy/check_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rookproxy::policy {
namespace {

void add_to_balance(double& saved, double share, Duration span, Duration burst) {
  saved = std::min(saved + share * static_cast<double>(span.count()), static_cast<double>(burst.count()));
}

}  // namespace

void CheckQueue::refill_budgets(Time now) {
  for (CpuBudget* bucket : {&common_budget_, &proven_budget_}) {
    if (!bucket->initialized) {
      bucket->initialized = true;
      bucket->balance_us = static_cast<double>(limits_.burst.count());
    } else if (now > bucket->refilled_at) {
      add_to_balance(bucket->balance_us,
                     bucket == &common_budget_ ? limits_.cpu_share : limits_.proven_cpu_share,
                     now - bucket->refilled_at, limits_.burst);
    }
    bucket->refilled_at = std::max(bucket->refilled_at, now);
  }
}

bool CheckQueue::may_run(SourceClass cls) const {
  return common_budget_.balance_us > 0 || (cls == kProven && proven_budget_.balance_us > 0);
}

// Proven sources use their own part first, and leave the common one to who has none.
void CheckQueue::charge(SourceClass cls, Duration cost) {
  CpuBudget& from = cls == kProven && proven_budget_.balance_us > 0 ? proven_budget_ : common_budget_;
  from.balance_us -= static_cast<double>(cost.count());
}

void CheckQueue::schedule_source(SourceId id, Source& source) {
  if (std::exchange(source.is_scheduled, true)) return;
  scheduled_sources_[source.source_class].push_back(id);
}

CheckQueue::Admission CheckQueue::admit(CheckId id, SourceId source_id, Time now) {
  refill_budgets(now);
  Source& source = sources_[source_id];  // its address stays: an unordered_map does not move its values
  // Who comes must not overtake those of its class or a better one that wait already.
  bool others_first = false;
  for (int cls = kProven; cls <= source.source_class; ++cls)
    others_first = others_first || next_scheduled_source(cls);
  if (!others_first && may_run(source.source_class)) return Admission::kRunNow;
  if (source.waiting.size() >= limits_.max_waiting_per_source) return Admission::kRejected;
  if (source_by_check_.size() >= limits_.max_waiting) {
    // Room is made by the newest of a worse class; there is none to be made among equals.
    SourceId worst = 0;
    bool found = false;
    for (int cls = kFailing; cls > source.source_class && !found; --cls) {
      for (auto at = scheduled_sources_[cls].rbegin(); at != scheduled_sources_[cls].rend() && !found; ++at) {
        if (sources_[*at].waiting.empty()) continue;
        worst = *at;
        found = true;
      }
    }
    if (!found) return Admission::kRejected;
    // It is overdue at once: its caller is told in the usual way.
    WaitingCheck& last = sources_[worst].waiting.back();
    waiting_by_age_.erase({last.since, last.id});
    last.since = Time();
    waiting_by_age_.emplace(std::pair(last.since, last.id), worst);
  }
  source.waiting.push_back({id, now});
  source_by_check_[id] = source_id;
  waiting_by_age_.emplace(std::pair(now, id), source_id);
  schedule_source(source_id, source);
  return Admission::kWait;
}

CheckQueue::Source* CheckQueue::next_scheduled_source(int cls) {
  auto& turns = scheduled_sources_[cls];
  while (!turns.empty()) {
    const SourceId id = turns.front();
    const auto found = sources_.find(id);
    if (found != sources_.end() && found->second.source_class == cls && !found->second.waiting.empty()) {
      return &found->second;
    }
    turns.pop_front();
    if (found == sources_.end()) continue;
    found->second.is_scheduled = false;
    if (!found->second.waiting.empty()) schedule_source(id, found->second);  // its class is another by now
  }
  return nullptr;
}

std::optional<CheckQueue::CheckId> CheckQueue::take_next(Time now) {
  refill_budgets(now);
  for (int cls = kProven; cls < kSourceClassCount; ++cls) {
    Source* source = next_scheduled_source(cls);
    if (!source || !may_run(static_cast<SourceClass>(cls))) continue;
    const SourceId source_id = scheduled_sources_[cls].front();
    const WaitingCheck one = source->waiting.front();
    source->waiting.pop_front();
    scheduled_sources_[cls].pop_front();
    source->is_scheduled = false;
    if (!source->waiting.empty()) schedule_source(source_id, *source);
    source_by_check_.erase(one.id);
    waiting_by_age_.erase({one.since, one.id});
    return one.id;
  }
  return std::nullopt;
}

std::vector<CheckQueue::CheckId> CheckQueue::take_overdue(Time now) {
  std::vector<CheckId> late;
  while (!waiting_by_age_.empty() && now - waiting_by_age_.begin()->first.first >= limits_.max_wait) {
    late.push_back(waiting_by_age_.begin()->first.second);
    cancel(late.back());
  }
  return late;
}

void CheckQueue::cancel(CheckId id) {
  const auto place = source_by_check_.find(id);
  if (place == source_by_check_.end()) return;
  Source& source = sources_[place->second];
  const auto at = std::find_if(source.waiting.begin(), source.waiting.end(),
                               [&](const WaitingCheck& one) { return one.id == id; });
  if (at != source.waiting.end()) {
    waiting_by_age_.erase({at->since, id});
    source.waiting.erase(at);
  }
  source_by_check_.erase(place);
}

std::optional<Time> CheckQueue::next_wake_time(Time now) const {
  if (waiting_by_age_.empty()) return std::nullopt;
  Time at = waiting_by_age_.begin()->first.first + limits_.max_wait;
  const auto affordable = [&](const CpuBudget& bucket, double share) {
    if (bucket.balance_us > 0) return now;
    return bucket.refilled_at +
           Duration(static_cast<std::int64_t>(std::ceil((1 - bucket.balance_us) / share)));
  };
  if (limits_.cpu_share > 0) at = std::min(at, affordable(common_budget_, limits_.cpu_share));
  if (!scheduled_sources_[kProven].empty() && limits_.proven_cpu_share > 0)
    at = std::min(at, affordable(proven_budget_, limits_.proven_cpu_share));
  return std::max(at, now);
}

bool CheckQueue::record_check(SourceId source_id, Duration cost, bool good, Time now) {
  refill_budgets(now);
  Source& source = sources_[source_id];
  charge(source.source_class, cost);
  average_cost_ = (7 * average_cost_ + cost) / 8;
  if (good) {
    source.source_class = kProven;
    source.consecutive_failures = 0;
    return false;
  }
  source.source_class = kFailing;
  return ++source.consecutive_failures >= limits_.max_consecutive_failures;
}

void CheckQueue::remove_source(SourceId source_id) {
  const auto found = sources_.find(source_id);
  if (found == sources_.end()) return;
  for (const WaitingCheck& one : found->second.waiting) {
    waiting_by_age_.erase({one.since, one.id});
    source_by_check_.erase(one.id);
  }
  sources_.erase(found);  // its place in the turns is given up when it comes up
}

Duration CheckQueue::retry_after() const {
  const double each = static_cast<double>(average_cost_.count()) / std::max(0.001, limits_.cpu_share);
  const auto until = Duration(static_cast<std::int64_t>(each * static_cast<double>(source_by_check_.size())));
  return std::clamp<Duration>(until, std::chrono::milliseconds(50), std::chrono::seconds(5));
}

}  // namespace rookproxy::policy
