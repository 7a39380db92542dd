// Schedules signature checks within a budget of processor time, so that a flood of invalid tokens can't slow
// down callers that are known already.
//
// Sources (connections) fall into three classes by the outcome of their earlier checks. Proven sources have a
// budget of their own besides the common one. Within a class, sources are served round robin, each with its
// oldest check, so that one that sends many tokens gets no more than one that sends a single one.
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

// Not thread-safe; the clock is the caller's. It holds ids alone: the caller keeps the checks themselves.
class CheckQueue {
 public:
  using CheckId = std::uint64_t;
  using SourceId = std::uint64_t;

  // Bounds and budgets, from the operator's file.
  struct Limits {
    double cpu_share = 0.05;                                 // of one core, for all checks together
    double proven_cpu_share = 0.10;                          // of one core besides, for proven sources alone
    Duration burst = std::chrono::milliseconds(2);           // the most that each budget saves up
    Duration initial_cost = std::chrono::microseconds(150);  // of a check, until some have been measured
    std::size_t max_waiting = 1024;
    std::size_t max_waiting_per_source = 32;
    Duration max_wait = std::chrono::milliseconds(1000);
    int max_consecutive_failures = 3;  // after that many invalid signatures a source is to be closed
  };
  explicit CheckQueue(Limits limits);

  // What the caller has to do with a check it wants to run.
  enum class Admission {
    kRunNow,   // run it at once, then call record_check()
    kWait,     // take_next() or take_overdue() returns it later
    kRejected  // there is no space for it
  };
  Admission admit(CheckId id, SourceId source, Time now);
  // Removes and returns the next check that may run now; record_check() has to follow.
  [[nodiscard]] std::optional<CheckId> take_next(Time now);
  // Removes and returns the checks that have waited for longer than `max_wait`.
  [[nodiscard]] std::vector<CheckId> take_overdue(Time now);
  // When take_next() or take_overdue() may return something at the earliest; nothing if no check waits.
  [[nodiscard]] std::optional<Time> next_wake_time(Time now) const;
  // Removes a waiting check; does nothing if it does not wait.
  void cancel(CheckId id);

  // Records the outcome and cost of a check that has run. Returns whether its source has sent so many invalid
  // signatures in a row that it should be closed.
  bool record_check(SourceId source, Duration cost, bool is_valid, Time now);
  // Forgets a source that has gone, with its waiting checks.
  void remove_source(SourceId source);

  // For a rejected caller: how long the present queue will take.
  [[nodiscard]] Duration retry_after() const;
  [[nodiscard]] std::size_t waiting_count() const { return source_by_check_.size(); }
  // Exponentially weighted average of the measured costs of a check.
  [[nodiscard]] Duration average_cost() const { return average_cost_; }

 private:
  // In the order in which they are served.
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
  // The source that is next in that class, or null; drops the ids of sources that have nothing there any
  // more.
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
