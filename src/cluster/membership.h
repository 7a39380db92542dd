// Cluster membership: which of the configured members are alive, as seen by one of them. Follows SWIM (Das,
// Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
// 2002). The failure detector allows for its own delays, as in Lifeguard (Dadgar, Phillips, Currey:
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
//
// In each protocol period one other member is pinged, in an order that is reshuffled after each pass. If it
// does not ack in time, other members are asked to ping it, and it is pinged a second time. Without an ack by
// the end of the period it becomes suspect; if it does not refute the suspicion within the suspicion timeout,
// it is considered failed. Updates are piggybacked on all messages between members, so the number of messages
// per member does not depend on the size of the cluster.
//
// docs/fleet-decisions.md has the state tables.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "base/time.h"
#include "cluster/gossip_selector.h"
#include "cluster/member_table.h"
#include "cluster/membership_context.h"
#include "cluster/membership_settings.h"
#include "cluster/messages.h"
#include "cluster/prober.h"
#include "cluster/rate_limited_outbox.h"

namespace rookproxy::cluster {

// One member of the cluster. Performs no I/O: the caller passes in messages and the time, and sends the
// messages that are returned. Not thread-safe.
class Membership {
 public:
  // The messages to send and the state changes that result from one event.
  struct Result {
    std::vector<OutgoingMessage> messages;
    std::vector<MemberChange> changes;
  };

  // `start`: the start time of the process in microseconds since the Unix epoch, not 0. `seed`: should differ
  // between members. Throws std::invalid_argument if a setting or `start` is invalid.
  Membership(const MembershipSettings& settings, Incarnation start, std::uint64_t seed, Time now);

  // Runs the timers that have expired. To be called at next_due() or shortly after.
  [[nodiscard]] Result tick(Time now);
  // Handles an authenticated message. A message that is not a MembershipMessage still proves that its sender
  // is alive.
  [[nodiscard]] Result receive(Time now, MemberId from, Incarnation incarnation, const MessageBody& body,
                               const std::vector<GossipUpdate>& gossip);
  // Returns at most `limit` updates for the message that is about to be sent to `to`.
  std::vector<GossipUpdate> gossip_for(MemberId to, std::size_t limit);

  [[nodiscard]] Time next_due() const { return next_due_; }
  // The incarnation of this member, which every message carries.
  [[nodiscard]] Incarnation incarnation() const { return own_incarnation_; }
  // The state of a member; nothing if it is unknown or was forgotten. This member itself is always alive.
  [[nodiscard]] std::optional<MemberState> state_of(MemberId member) const;
  // This member and all members that are alive or suspect.
  [[nodiscard]] std::vector<MemberId> alive_members() const;
  [[nodiscard]] std::size_t alive_count() const { return table_.alive_others() + 1; }
  // Whether the table is up to date. False shortly after the start or a stall, and while a timer is overdue.
  [[nodiscard]] bool is_current(Time now) const;
  [[nodiscard]] MembershipMetrics metrics() const;

 private:
  MembershipContext make_context(Time now);
  void update_clock(Time now);
  void recover_from_stall(Time now);
  void extend_deadlines_after_delay(Time now);
  void run_protocol_period(Time now);
  void apply_update(const GossipUpdate& update, Time now);
  void refute(const GossipUpdate& update);
  void handle(MemberId from, const MessageBody& body, Time now);
  void update_is_current(Time now);
  Result take_result(Time now);

  MembershipSettings settings_;
  Duration stall_threshold_;
  Incarnation own_incarnation_;
  std::mt19937 random_;
  MemberTable table_;
  Prober prober_;
  GossipSelector gossip_;
  RateLimitedOutbox outbox_;
  MembershipMetrics metrics_;
  bool is_current_ = false;
  Time started_at_;      // The start of the process or the end of the last stall.
  Time next_period_at_;  // The start of the next protocol period.
  Time next_due_;
  Time last_event_at_;
};

}  // namespace rookproxy::cluster
