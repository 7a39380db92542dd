// Which of the configured members are alive, as one of them knows it. After SWIM (Das, Gupta, Motivala:
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002), with a failure
// detector that mistrusts itself when it runs late, as in Lifeguard (Dadgar, Phillips, Currey: "Lifeguard:
// Local Health Awareness for More Accurate Failure Detection", 2018).
//
// Each period one other member is pinged, in an order that is shuffled anew after each pass. If it does not
// answer, other members are asked to ping it, and it is pinged a second time. Without an answer by the end of
// the period it is suspect; if it does not refute within the suspicion timeout, it has failed. Updates about
// this ride on every message between members, so a member sends and receives the same number of messages
// whatever the size of the cluster.
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

// One member. Free of I/O: it is driven by messages and by time, and returns the messages to be sent. Not
// thread-safe.
class Membership {
 public:
  // What one event has led to.
  struct Result {
    std::vector<OutgoingMessage> messages;
    std::vector<MemberChange> changes;
  };

  // `start`: the time of the process's start in microseconds, not 0. `seed`: any, best another at each
  // member. Throws std::invalid_argument if the settings have a fault.
  Membership(const MembershipSettings& settings, Incarnation start, std::uint64_t seed, Time now);

  // Call it at next_due() or a little later.
  [[nodiscard]] Result tick(Time now);
  // Handles an authenticated message. One that is not a MembershipMessage still shows that its sender is
  // alive.
  [[nodiscard]] Result receive(Time now, MemberId from, Incarnation incarnation, const MessageBody& body,
                               const std::vector<GossipUpdate>& gossip);
  // The updates for the message that is sent to `to` now, at most `limit`.
  std::vector<GossipUpdate> gossip_for(MemberId to, std::size_t limit);

  [[nodiscard]] Time next_due() const { return next_due_; }
  // Goes with every message.
  [[nodiscard]] Incarnation incarnation() const { return own_incarnation_; }
  // Nothing: not heard of since the start, or forgotten. This member itself is alive.
  [[nodiscard]] std::optional<MemberState> state_of(MemberId member) const;
  // This member, and those that are alive or suspect.
  [[nodiscard]] std::vector<MemberId> alive_members() const;
  [[nodiscard]] std::size_t alive_count() const { return table_.alive_others() + 1; }
  // False if this process has started or stalled lately, or is late: what it knows may be outdated.
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
  Time started_at_;      // or the end of the last stall
  Time next_period_at_;  // start of the next protocol period
  Time next_due_;
  Time last_event_at_;
};

}  // namespace rookproxy::cluster
