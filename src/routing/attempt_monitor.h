// Detection of attempts that run badly or whose updates have stopped.
#pragma once

#include "routing/exponential_average.h"
#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Judges attempts in flight by the updates that engines send about them. Used only by the Router's thread;
// `state` must outlive it.
class AttemptMonitor {
 public:
  explicit AttemptMonitor(RoutingState& state) : state_(state) {}

  // Records that an update of any attempt has arrived.
  void record_update() {
    last_update_at_ = state_.now;
    last_activity_at_ = state_.now;
  }
  // Records that an attempt was served.
  void record_response() {
    record_loss(false);
    last_activity_at_ = state_.now;
  }
  // Records whether an attempt was lost: its updates stopped, or it ended without any update or response.
  void record_loss(bool lost);
  // Updates the class's progress rate from a progress update. Returns whether the attempt runs so much slower
  // than its class, presumably because of a bad query plan, that another attempt is likely to end earlier. A
  // class that is slow as a whole is not affected, since the comparison is with its median rate.
  [[nodiscard]] bool runs_too_slowly(const Request& request, const Attempt& attempt, double share_done);
  // Returns whether the request's last attempt is checked for missing updates. An attempt that waits for an
  // engine's memory is not: it sends no updates while it waits.
  [[nodiscard]] bool is_monitored(const Request& request) const;
  // Returns whether the attempt is presumed lost, or its engine hung: other attempts still send updates, but
  // this one has sent none for several intervals. An attempt that still runs is cancelled if only its own
  // updates are delayed.
  [[nodiscard]] bool is_silent(const Attempt& attempt) const;
  // Returns whether the attempt takes too long for its work at a time when many attempts are lost. Short
  // attempts may be over before their first update would be due.
  [[nodiscard]] bool is_overdue(const Request& request, const Attempt& attempt) const;

 private:
  RoutingState& state_;
  // Time of the last update of any attempt.
  Time last_update_at_ = 0;
  // Time of the last update or response.
  Time last_activity_at_ = 0;
  // Weighted fraction of recent attempts that were lost.
  ExponentialAverage lost_share_;
};

}  // namespace rookproxy::routing
