#include "decide/check_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rookproxy::decide {
namespace {

void add(double& saved, double share, Duration span, Duration burst) {
  saved = std::min(saved + share * static_cast<double>(span.count()), static_cast<double>(burst.count()));
}

}  // namespace

void CheckQueue::fill(Time now) {
  for (Bucket* bucket : {&common_, &proven_}) {
    if (!bucket->begun) {
      bucket->begun = true;
      bucket->saved = static_cast<double>(limits_.burst.count());
    } else if (now > bucket->at) {
      add(bucket->saved, bucket == &common_ ? limits_.share : limits_.proven_share, now - bucket->at,
          limits_.burst);
    }
    bucket->at = std::max(bucket->at, now);
  }
}

bool CheckQueue::may_run(Class cls) const {
  return common_.saved > 0 || (cls == kProven && proven_.saved > 0);
}

// Proven sources use their own part first, and leave the common one to who has none.
void CheckQueue::pay(Class cls, Duration cost) {
  Bucket& from = cls == kProven && proven_.saved > 0 ? proven_ : common_;
  from.saved -= static_cast<double>(cost.count());
}

void CheckQueue::enter_turn(SourceId id, Source& source) {
  if (std::exchange(source.in_turn, true)) return;
  turns_[source.cls].push_back(id);
}

CheckQueue::Admission CheckQueue::admit(CheckId id, SourceId source_id, Time now) {
  fill(now);
  Source& source = sources_[source_id];  // its address stays: an unordered_map does not move its values
  // Who comes must not overtake those of its class or a better one that wait already.
  bool others_first = false;
  for (int cls = kProven; cls <= source.cls; ++cls) others_first = others_first || first_in_turn(cls);
  if (!others_first && may_run(source.cls)) return Admission::kNow;
  if (source.waiting.size() >= limits_.most_of_source) return Admission::kRefused;
  if (places_.size() >= limits_.most_waiting) {
    // Room is made by the newest of a worse class; there is none to be made among equals.
    SourceId worst = 0;
    bool found = false;
    for (int cls = kFailing; cls > source.cls && !found; --cls) {
      for (auto at = turns_[cls].rbegin(); at != turns_[cls].rend() && !found; ++at) {
        if (sources_[*at].waiting.empty()) continue;
        worst = *at;
        found = true;
      }
    }
    if (!found) return Admission::kRefused;
    // It is overdue at once: its caller is told in the usual way.
    Waiting& last = sources_[worst].waiting.back();
    by_age_.erase({last.since, last.id});
    last.since = Time();
    by_age_.emplace(std::pair(last.since, last.id), worst);
  }
  source.waiting.push_back({id, now});
  places_[id] = source_id;
  by_age_.emplace(std::pair(now, id), source_id);
  enter_turn(source_id, source);
  return Admission::kWait;
}

CheckQueue::Source* CheckQueue::first_in_turn(int cls) {
  auto& turns = turns_[cls];
  while (!turns.empty()) {
    const SourceId id = turns.front();
    const auto found = sources_.find(id);
    if (found != sources_.end() && found->second.cls == cls && !found->second.waiting.empty()) {
      return &found->second;
    }
    turns.pop_front();
    if (found == sources_.end()) continue;
    found->second.in_turn = false;
    if (!found->second.waiting.empty()) enter_turn(id, found->second);  // its class is another by now
  }
  return nullptr;
}

std::optional<CheckQueue::CheckId> CheckQueue::next(Time now) {
  fill(now);
  for (int cls = kProven; cls < kClasses; ++cls) {
    Source* source = first_in_turn(cls);
    if (!source || !may_run(static_cast<Class>(cls))) continue;
    const SourceId source_id = turns_[cls].front();
    const Waiting one = source->waiting.front();
    source->waiting.pop_front();
    turns_[cls].pop_front();
    source->in_turn = false;
    if (!source->waiting.empty()) enter_turn(source_id, *source);
    places_.erase(one.id);
    by_age_.erase({one.since, one.id});
    return one.id;
  }
  return std::nullopt;
}

std::vector<CheckQueue::CheckId> CheckQueue::overdue(Time now) {
  std::vector<CheckId> late;
  while (!by_age_.empty() && now - by_age_.begin()->first.first >= limits_.longest_wait) {
    late.push_back(by_age_.begin()->first.second);
    withdraw(late.back());
  }
  return late;
}

void CheckQueue::withdraw(CheckId id) {
  const auto place = places_.find(id);
  if (place == places_.end()) return;
  Source& source = sources_[place->second];
  const auto at = std::find_if(source.waiting.begin(), source.waiting.end(),
                               [&](const Waiting& one) { return one.id == id; });
  if (at != source.waiting.end()) {
    by_age_.erase({at->since, id});
    source.waiting.erase(at);
  }
  places_.erase(place);
}

std::optional<Time> CheckQueue::wake_at(Time now) const {
  if (by_age_.empty()) return std::nullopt;
  Time at = by_age_.begin()->first.first + limits_.longest_wait;
  const auto affordable = [&](const Bucket& bucket, double share) {
    if (bucket.saved > 0) return now;
    return bucket.at + Duration(static_cast<std::int64_t>(std::ceil((1 - bucket.saved) / share)));
  };
  if (limits_.share > 0) at = std::min(at, affordable(common_, limits_.share));
  if (!turns_[kProven].empty() && limits_.proven_share > 0)
    at = std::min(at, affordable(proven_, limits_.proven_share));
  return std::max(at, now);
}

bool CheckQueue::spent(SourceId source_id, Duration cost, bool good, Time now) {
  fill(now);
  Source& source = sources_[source_id];
  pay(source.cls, cost);
  cost_ = (7 * cost_ + cost) / 8;
  if (good) {
    source.cls = kProven;
    source.bad_in_a_row = 0;
    return false;
  }
  source.cls = kFailing;
  return ++source.bad_in_a_row >= limits_.most_bad;
}

void CheckQueue::forget(SourceId source_id) {
  const auto found = sources_.find(source_id);
  if (found == sources_.end()) return;
  for (const Waiting& one : found->second.waiting) {
    by_age_.erase({one.since, one.id});
    places_.erase(one.id);
  }
  sources_.erase(found);  // its place in the turns is given up when it comes up
}

Duration CheckQueue::advice() const {
  const double each = static_cast<double>(cost_.count()) / std::max(0.001, limits_.share);
  const auto until = Duration(static_cast<std::int64_t>(each * static_cast<double>(places_.size())));
  return std::clamp<Duration>(until, std::chrono::milliseconds(50), std::chrono::seconds(5));
}

}  // namespace rookproxy::decide
