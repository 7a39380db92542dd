// Attempts that run badly or have gone silent.
#pragma once

#include "routing/exponential_average.h"
#include "routing/request.h"
#include "routing/routing_state.h"

namespace rookproxy::routing {

// Judges attempts in flight by the updates that engines send of them.
// Used by the Router's thread alone; `state` has to outlive it.
class AttemptMonitor {
 public:
  explicit AttemptMonitor(RoutingState& state) : state_(state) {}

  // An update of an attempt has come.
  void record_update() {
    last_update_at_ = state_.now;
    last_sign_at_ = state_.now;
  }
  // An attempt was served.
  void record_response() {
    record_loss(false);
    last_sign_at_ = state_.now;
  }
  // Counts whether an attempt went silent, or ended without any sign of it.
  void record_loss(bool lost);
  // Learns from a progress update. Returns whether the attempt runs so much slower than its class that
  // another one is likely to end before it: a bad plan. The class's rate is the median of all updates: where
  // a whole class runs slowly, slow is no bad plan.
  [[nodiscard]] bool runs_badly(const Request& request, const Attempt& attempt, double share_done);
  // Whether the attempt is watched for silence. What waits for an engine's memory has said so, once.
  [[nodiscard]] bool is_watched(const Request& request) const;
  // Whether the attempt is taken for lost on the way, or its engine hangs: updates come from others, none of
  // it for some intervals. Could harm where updates are late for some engines only: then work is cancelled
  // that still ran.
  [[nodiscard]] bool is_silent(const Attempt& attempt) const;
  // Whether it takes too long for its work while many attempts are lost: then short work is not given the
  // time for an update.
  [[nodiscard]] bool is_overdue(const Request& request, const Attempt& attempt) const;

 private:
  RoutingState& state_;
  Time last_update_at_ = 0;        // of any attempt
  Time last_sign_at_ = 0;          // an update or a response
  ExponentialAverage lost_share_;  // of late attempts
};

}  // namespace rookproxy::routing
