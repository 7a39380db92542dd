// Who of the configured dispatchers lives, as one of them knows it. After SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002), with a decider that
// doubts itself when it was late (the thought of Lifeguard: Dadgar, Phillips, Currey: "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", 2018).
//
// Each period one other member is pinged, in an order that is shuffled anew each pass. No answer: `proxies`
// others are asked to ping it, beside a second ping of one's own. No answer by the period's end: it is
// suspect, and gone after the suspicion span if it has not refuted. Words of this ride on every message
// between members. So a member sends and gets the same number of messages whatever the fleet's size.
//
// docs/fleet-decisions.md has the tables: how a member is held by another (unknown, alive, suspect, gone),
// and when the decider itself is starting, waking or current.
//
// Fifteen: each answer carries the newest words of its sender, so one that half the fleet knows is missed by
// fifteen of them with a chance of 2^-15; a majority of 300 would take over ten seconds. Only answers to
// pings sent since the waking count: what lay in the socket meanwhile is as old as what the decider knew.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/types.h"

namespace rookproxy::cluster {

struct MembershipSettings {
  MemberId self = 0;
  std::size_t member_count = 1;                              // configured, itself included
  Duration probe_interval = std::chrono::milliseconds(500);  // between two probes
  Duration ping_timeout = std::chrono::milliseconds(150);    // for a ping's answer, until others are asked
  int indirect_ping_count = 3;                               // asked to ping for us; 0 to 16
  double suspicion_multiplier = 3;  // times log2(members + 1) periods: the suspicion span
  Duration failed_member_retention = std::chrono::minutes(10);    // a gone member is unknown after this
  Duration stall_threshold = std::chrono::milliseconds(2000);     // a tick this late: the process was stopped
  Duration isolation_timeout = std::chrono::milliseconds(10000);  // nobody heard for this: alone, and current
  int gossip_updates_per_message = 8;  // of each message; a greeting takes all the room
  int max_messages_per_second = 64;    // a second that are sent at the most, answers included
  int fast_probe_count = 5;            // pings more a period until current

  Duration suspicion_timeout() const;  // from suspect to gone: the fleet's size tells how long words travel
  Duration effective_stall_threshold() const;  // so late is a stall
  std::string fault() const;                   // what is wrong and what to set instead; empty: nothing
};

class Membership {
 public:
  // `start`: the microseconds of the process's start, not 0. `seed`: any, other at each member.
  // Throws std::invalid_argument with settings().fault().
  Membership(const MembershipSettings& settings, Incarnation start, std::uint64_t seed, Time now);

  struct MemberChange {
    MemberId member = 0;
    std::optional<MemberState> before, after;  // nothing: unknown
    bool operator==(const MemberChange&) const = default;
  };
  struct Result {
    std::vector<OutgoingMessage> messages;
    std::vector<MemberChange> changes;
  };
  // At next_due() or a little after.
  Result tick(Time now);
  // A message whose proof is good. Bodies other than Ping, PingFor and Ack count as words of their sender
  // alone.
  Result receive(Time now, MemberId from, Incarnation incarnation, const MessageBody& body,
                 const std::vector<GossipUpdate>& rumours);
  // What rides on the message that goes to `to` now, at most `most`: what is held against it, news (each told
  // about 3 log2 n times, the least told first), then the table in turn.
  std::vector<GossipUpdate> gossip_for(MemberId to, std::size_t most);

  Time next_due() const { return next_due_; }
  // Goes with every message.
  Incarnation incarnation() const { return own_incarnation_; }
  // Nothing: not heard of since the start, or gone for long. Of itself: alive.
  std::optional<MemberState> state_of(MemberId member) const;
  // Itself, and those alive or suspect: one lost datagram must not move anybody's share.
  std::vector<MemberId> alive_members() const;
  std::size_t alive_count() const { return alive_others_ + 1; }
  // False: it has started or woken, or should have ticked long ago, and what it holds may be old.
  bool is_current(Time now) const;

  struct Metrics {
    std::uint64_t probes = 0, indirect_probes = 0;  // probes begun, and those that asked others
    std::uint64_t suspicions = 0;                   // own, by a probe that nobody answered
    std::uint64_t refutations = 0;                  // of suspicions of itself
    std::uint64_t stalls = 0;
    std::uint64_t ignored_updates =
        0;  // rumours older than what is held, or with an incarnation that can't be
    std::uint64_t unknown_members = 0;  // messages of and rumours about members that are not configured
    std::uint64_t rate_limited = 0;     // messages above `messages` a second
  };
  const Metrics& metrics() const { return metrics_; }

 private:
  enum class RecordState : std::uint8_t { kUnknown, kAlive, kSuspect, kFailed };
  struct MemberRecord {
    Incarnation incarnation = 0;
    Time state_deadline{};            // suspect: gone then; gone: forgotten then
    std::uint16_t transmissions = 0;  // times that its last change was told
    RecordState state = RecordState::kUnknown;
    bool suspected_locally : 1 = false;      // the suspicion is our own
    bool needs_full_table : 1 = false;       // new to us: gets the table
    bool has_stale_incarnation : 1 = false;  // its last message had an older incarnation than is known of it
    bool has_acked : 1 = false;              // has answered since the start or waking
  };
  struct Probe {
    MemberId member;
    std::uint32_t number;
    Incarnation incarnation;
    Time ping_deadline, deadline;
    bool indirect_sent = false;
  };
  struct Relay {
    MemberId requester, target;
    std::uint32_t number, requester_number;  // the ping's, and the one the asker knows
    Time deadline;
  };

  static bool counts_as_alive(RecordState state) {
    return state == RecordState::kAlive || state == RecordState::kSuspect;
  }
  static std::optional<MemberState> to_member_state(RecordState state);
  void update_clock(Time now);
  void recover_from_stall(Time now);
  void extend_deadlines_after_delay(Time now);
  void run_protocol_period(Time now);
  void send_join_pings();
  void expire_probes(Time now);
  void expire_suspicions(Time now);
  void record_sender(MemberId from, Incarnation incarnation, Time now);
  void apply_update(const GossipUpdate& rumour, Time now);
  void handle_ack(MemberId from, const Ack& ack);
  void relay_ping(MemberId from, const PingRequest& ask, Time now);
  void set_state(MemberId member, RecordState state, Incarnation incarnation, Time now);
  void enqueue(MemberId to, MessageBody body);
  template <class Which>
  std::optional<MemberId> next_matching(std::size_t& place, Which which) const;
  Result take_result(Time now);

  MembershipSettings settings_;
  Duration suspicion_timeout_, stall_threshold_;
  unsigned max_transmissions_;  // of each change
  std::vector<MemberRecord> records_;
  Incarnation own_incarnation_;
  std::mt19937 random_;
  std::vector<MemberId> probe_order_;  // of probes, all others
  std::size_t probe_index_ = 0, join_index_ = 0, fast_probe_index_ = 0, suspect_index_ = 0;  // places in it
  std::size_t table_cursor_ = 0;  // the next member that the table's tour tells of
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::uint32_t next_number_ = 0, first_valid_number_ = 0;  // the first number used since the start or waking
  std::size_t alive_others_ = 0, acked_count_ = 0;
  bool current_ = false, odd_period_ = false;
  double message_tokens_ = 0;  // messages
  Time tokens_updated_at_, started_at_, next_period_at_, next_due_, last_event_at_;
  Result pending_result_;
  Metrics metrics_;
};

}  // namespace rookproxy::cluster
