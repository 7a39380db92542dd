// When may a signature be checked? A budget of processor time for all checks, and who goes first when it is
// short, so that a flood of bad tokens can't slow the queries of callers who are known already.
//
// Sources (connections) stand in three classes by what their earlier tokens came to: proven, fresh, failing.
// Proven ones have a part of the budget to themselves. Within a class sources take turns, each with its
// oldest check, so that one that sends many does not get more than one that sends one.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

class CheckQueue {
 public:
  using CheckId = std::uint64_t;
  using SourceId = std::uint64_t;

  struct Limits {
    double cpu_share = 0.05;                        // of one core, for all checks together
    double proven_cpu_share = 0.10;                 // of one core besides, for proven sources alone
    Duration burst = std::chrono::milliseconds(2);  // of processor time that may be saved up, of each
    Duration initial_cost = std::chrono::microseconds(150);  // of a check, until some have been measured
    std::size_t max_waiting = 1024, max_waiting_per_source = 32;
    Duration max_wait = std::chrono::milliseconds(1000);
    int max_consecutive_failures = 3;  // bad signatures in a row, after which a source is to be closed
  };
  explicit CheckQueue(Limits limits) : limits_(limits) {}

  enum class Admission { kRunNow, kWait, kRejected };
  // Told 'now', the caller checks at once and then says what it cost; told 'wait', it hears of the check by
  // next().
  Admission admit(CheckId id, SourceId source, Time now);
  // The next check that may run now; it has left the queue, and its cost is to be told.
  std::optional<CheckId> take_next(Time now);
  // Those that have waited too long; they have left the queue.
  std::vector<CheckId> take_overdue(Time now);
  // When next() or overdue() have something to say, at the earliest; nothing if nobody waits.
  std::optional<Time> next_wake_time(Time now) const;
  void cancel(CheckId id);

  // A check of this source has run. True: it has sent so many bad ones that it should be closed.
  bool record_check(SourceId source, Duration cost, bool good, Time now);
  void remove_source(SourceId source);  // it is gone; its waiting checks are withdrawn

  // For one that was refused: until the queue will have been served, at the present pace.
  Duration retry_after() const;
  std::size_t waiting_count() const { return source_by_check_.size(); }
  Duration average_cost() const { return average_cost_; }  // of one check, by what was measured

 private:
  enum SourceClass { kProven, kFresh, kFailing, kSourceClassCount };
  struct WaitingCheck {
    CheckId id;
    Time since;
  };
  struct Source {
    SourceClass source_class = kFresh;
    int consecutive_failures = 0;
    std::deque<WaitingCheck> waiting;
    bool is_scheduled = false;
  };
  struct CpuBudget {
    double balance_us = 0;  // microseconds of processor time; under 0: in debt
    Time refilled_at{};
    bool initialized = false;
  };
  void refill_budgets(Time now);
  bool may_run(SourceClass cls) const;
  void charge(SourceClass cls, Duration cost);
  void schedule_source(SourceId id, Source& source);
  // The source whose turn it is in that class; what has nothing there any more gives up its place.
  Source* next_scheduled_source(int cls);

  Limits limits_;
  CpuBudget common_budget_, proven_budget_;
  Duration average_cost_ = limits_.initial_cost;
  std::unordered_map<SourceId, Source> sources_;
  std::deque<SourceId> scheduled_sources_[kSourceClassCount];
  std::unordered_map<CheckId, SourceId> source_by_check_;
  std::map<std::pair<Time, CheckId>, SourceId> waiting_by_age_;
};

}  // namespace rookproxy::policy
