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

namespace rookproxy::decide {

class CheckQueue {
 public:
  using CheckId = std::uint64_t;
  using SourceId = std::uint64_t;

  struct Limits {
    double share = 0.05;                                   // of one core, for all checks together
    double proven_share = 0.10;                            // of one core besides, for proven sources alone
    Duration burst = std::chrono::milliseconds(2);         // of processor time that may be saved up, of each
    Duration first_cost = std::chrono::microseconds(150);  // of a check, until some have been measured
    std::size_t most_waiting = 1024, most_of_source = 32;
    Duration longest_wait = std::chrono::milliseconds(1000);
    int most_bad = 3;  // bad signatures in a row, after which a source is to be closed
  };
  explicit CheckQueue(Limits limits) : limits_(limits) {}

  enum class Admission { kNow, kWait, kRefused };
  // Told 'now', the caller checks at once and then says what it cost; told 'wait', it hears of the check by
  // next().
  Admission admit(CheckId id, SourceId source, Time now);
  // The next check that may run now; it has left the queue, and its cost is to be told.
  std::optional<CheckId> next(Time now);
  // Those that have waited too long; they have left the queue.
  std::vector<CheckId> overdue(Time now);
  // When next() or overdue() have something to say, at the earliest; nothing if nobody waits.
  std::optional<Time> wake_at(Time now) const;
  void withdraw(CheckId id);

  // A check of this source has run. True: it has sent so many bad ones that it should be closed.
  bool spent(SourceId source, Duration cost, bool good, Time now);
  void forget(SourceId source);  // it is gone; its waiting checks are withdrawn

  // For one that was refused: until the queue will have been served, at the present pace.
  Duration advice() const;
  std::size_t waiting() const { return places_.size(); }
  Duration cost() const { return cost_; }  // of one check, by what was measured

 private:
  enum Class { kProven, kFresh, kFailing, kClasses };
  struct Waiting {
    CheckId id;
    Time since;
  };
  struct Source {
    Class cls = kFresh;
    int bad_in_a_row = 0;
    std::deque<Waiting> waiting;
    bool in_turn = false;
  };
  struct Bucket {
    double saved = 0;  // microseconds of processor time; under 0: in debt
    Time at{};
    bool begun = false;
  };
  void fill(Time now);
  bool may_run(Class cls) const;
  void pay(Class cls, Duration cost);
  void enter_turn(SourceId id, Source& source);
  // The source whose turn it is in that class; what has nothing there any more gives up its place.
  Source* first_in_turn(int cls);

  Limits limits_;
  Bucket common_, proven_;
  Duration cost_ = limits_.first_cost;
  std::unordered_map<SourceId, Source> sources_;
  std::deque<SourceId> turns_[kClasses];
  std::unordered_map<CheckId, SourceId> places_;
  std::map<std::pair<Time, CheckId>, SourceId> by_age_;
};

}  // namespace rookproxy::decide
