// Schedules signature checks within a CPU budget, so that a flood of invalid tokens does not delay callers
// whose tokens have been verified before.
//
// Sources (connections) are divided into three classes by the results of their earlier checks. Proven sources
// have their own budget in addition to the common one. Within a class, sources are served round robin, each
// with its oldest check, so that a source that sends many tokens gets no larger share than one that sends a
// single token.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "policy/cpu_budget.h"

namespace rookproxy::policy {

// Not thread-safe. The caller provides the time and keeps the checks themselves; the queue holds their ids.
class CheckQueue {
 public:
  using CheckId = std::uint64_t;
  using SourceId = std::uint64_t;

  // Bounds and budgets from the configuration.
  struct Limits {
    // The share of one core for the checks of all sources.
    double cpu_share = 0.05;
    // The additional share of one core for proven sources.
    double proven_cpu_share = 0.10;
    // The highest balance of each budget.
    Duration burst = std::chrono::milliseconds(2);
    // The assumed cost of a check until the first one has been measured.
    Duration initial_cost = std::chrono::microseconds(150);
    std::size_t max_waiting = 1024;
    std::size_t max_waiting_per_source = 32;
    Duration max_wait = std::chrono::milliseconds(1000);
    // The number of consecutive invalid signatures after which a source should be closed.
    int max_consecutive_failures = 3;
  };
  explicit CheckQueue(Limits limits);

  // What the caller has to do with a check.
  enum class Admission {
    kRunNow,   // Run it now, then call record_check().
    kWait,     // It was queued; take_next() or take_overdue() will return it.
    kRejected  // The queue is full.
  };
  // Decides on a new check of a source, and queues it unless it may run now or is rejected.
  Admission admit(CheckId id, SourceId source, Time now);
  // Removes and returns the next check that may run now; the caller must call record_check() after it.
  [[nodiscard]] std::optional<CheckId> take_next(Time now);
  // Removes and returns the checks that have waited for `max_wait` or longer.
  [[nodiscard]] std::vector<CheckId> take_overdue(Time now);
  // The earliest time at which take_next() or take_overdue() may return a check; nothing if none is waiting.
  [[nodiscard]] std::optional<Time> next_wake_time(Time now) const;
  // Removes a waiting check; does nothing if the check is not waiting.
  void cancel(CheckId id);

  // Records the result and cost of a check that has run. Returns true if its source has reached
  // `max_consecutive_failures` and should be closed.
  bool record_check(SourceId source, Duration cost, bool is_valid, Time now);
  // Removes a source that was closed, with its waiting checks.
  void remove_source(SourceId source);

  // The estimated time until the current queue is processed, for the callers of rejected checks.
  [[nodiscard]] Duration retry_after() const;
  [[nodiscard]] std::size_t waiting_count() const { return source_by_check_.size(); }
  // The exponentially weighted moving average of the measured cost of a check.
  [[nodiscard]] Duration average_cost() const { return average_cost_; }

 private:
  // In the order in which the classes are served.
  enum class SourceClass { kProven, kUnproven, kFailing };
  static constexpr std::array kSourceClasses{SourceClass::kProven, SourceClass::kUnproven,
                                             SourceClass::kFailing};

  struct WaitingCheck {
    CheckId id;
    Time since;
  };

  struct Source {
    SourceClass source_class = SourceClass::kUnproven;
    int consecutive_failures = 0;
    std::deque<WaitingCheck> waiting;
    bool is_scheduled = false;
  };

  // Orders waiting checks by age.
  struct WaitOrder {
    Time since;
    CheckId id;
    bool operator<(const WaitOrder& other) const {
      return since != other.since ? since < other.since : id < other.id;
    }
  };

  void refill_budgets(Time now);
  [[nodiscard]] bool may_run(SourceClass source_class) const;
  void charge(SourceClass source_class, Duration cost);
  void schedule_source(SourceId id, Source& source);
  [[nodiscard]] std::deque<SourceId>& scheduled_sources(SourceClass source_class);
  // The next source of that class that has a waiting check, or null. Removes the ids of sources that have
  // none, or have changed their class.
  Source* next_scheduled_source(SourceClass source_class);
  [[nodiscard]] bool has_waiting_up_to(SourceClass source_class);
  [[nodiscard]] bool has_waiting(SourceId id) const;
  [[nodiscard]] std::optional<SourceId> newest_below(SourceClass source_class) const;
  [[nodiscard]] bool make_space_for(SourceClass source_class);

  Limits limits_;
  CpuBudget common_budget_;
  CpuBudget proven_budget_;
  Duration average_cost_ = limits_.initial_cost;
  std::unordered_map<SourceId, Source> sources_;
  std::array<std::deque<SourceId>, kSourceClasses.size()> scheduled_sources_;
  std::unordered_map<CheckId, SourceId> source_by_check_;
  std::map<WaitOrder, SourceId> waiting_by_age_;
};

}  // namespace rookproxy::policy
