// SWIM's failure detector: direct pings, indirect pings through other members, and pings on their behalf.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "cluster/membership_context.h"
#include "cluster/messages.h"
#include "cluster/probe_order.h"

namespace rookproxy::cluster {

// Gives each ping a unique number and tracks the pings that must be acked.
class Prober {
 public:
  Prober(const MembershipSettings& settings, std::mt19937& random)
      : order_(settings.self, settings.member_count, random) {}

  // Sets the number of the first ping. It should be random, so that acks to pings of an earlier process are
  // not taken for acks to pings of this one.
  void start_numbering_at(std::uint32_t first_number);

  // Probes the next member that counts as alive, and pings one that this member suspects. Called once per
  // protocol period.
  void probe_next(const MembershipContext& context);
  // Sends pings that raise no suspicion if they are not acked: in every second period one to an unknown or
  // failed member, which finds members that have returned; and up to `fast_probes` to members that have not
  // acked yet. Called once per protocol period.
  void send_join_pings(int fast_probes, const MembershipContext& context);
  // Pings the target of the request on behalf of `from`.
  void relay(MemberId from, const PingRequest& request, const MembershipContext& context);
  void handle_ack(MemberId from, const Ack& ack, const MembershipContext& context);
  // Requests indirect pings of members that have not acked a direct ping in time, and suspects members that
  // have not acked by the end of the period.
  void expire(const MembershipContext& context);

  // When expire() is due, or `latest` if that is earlier.
  [[nodiscard]] Time next_deadline(Time latest) const;
  // Extends all deadlines after a delayed check, since acks may be unread in the socket.
  void extend_deadlines(Duration by);
  // Called after a stall. Drops all pending pings; acks to earlier pings no longer count.
  void reset();

 private:
  // A ping that must be acked.
  struct Probe {
    MemberId member;
    std::uint32_t number;
    Incarnation incarnation;
    Time ping_deadline;  // When indirect pings are requested.
    Time deadline;       // When the member becomes suspect.
    bool is_indirect = false;
  };
  // A ping on behalf of another member.
  struct Relay {
    MemberId requester;
    MemberId target;
    std::uint32_t number;            // The number of this member's ping.
    std::uint32_t requester_number;  // The number of the request.
    Time deadline;
  };

  void ping(MemberId member, const MembershipContext& context);
  void start_probe(MemberId member, const MembershipContext& context);
  void request_indirect_pings(Probe& probe, const MembershipContext& context);
  static void suspect(const Probe& probe, const MembershipContext& context);

  ProbeOrder order_;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::uint32_t next_number_ = 0;
  std::uint32_t first_valid_number_ = 0;  // Acks to earlier numbers do not count.
  // Positions in order_ of the last member that was pinged for each purpose.
  std::size_t suspect_position_ = 0;
  std::size_t join_position_ = 0;
  std::size_t fast_probe_position_ = 0;
  bool is_odd_period_ = false;
};

}  // namespace rookproxy::cluster
