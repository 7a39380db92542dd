// SWIM's failure detector: pings, indirect pings through other members, and pings on their behalf.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "cluster/membership_context.h"
#include "cluster/messages.h"
#include "cluster/probe_order.h"

namespace rookproxy::cluster {

// Sends each ping under a number of its own and keeps track of those that must be answered.
class Prober {
 public:
  Prober(const MembershipSettings& settings, std::mt19937& random)
      : order_(settings.self, settings.member_count, random) {}

  // Numbers the pings from here on. A random start keeps acks to a predecessor's pings apart from acks to
  // this process's.
  void start_numbering_at(std::uint32_t first_number);

  // Once per period: probes the next member that counts as alive, and pings one that this member suspects.
  void probe_next(const MembershipContext& context);
  // Once per period, pings that prove nothing if they are not answered: in every second period one to a
  // member that is unknown or failed, which finds members that have come back; and `fast_probes` to members
  // that have not acked yet.
  void send_join_pings(int fast_probes, const MembershipContext& context);
  // Pings on behalf of `from`.
  void relay(MemberId from, const PingRequest& request, const MembershipContext& context);
  void handle_ack(MemberId from, const Ack& ack, const MembershipContext& context);
  // Asks other members to ping those that have not answered directly, and suspects those that have not
  // answered at all.
  void expire(const MembershipContext& context);

  // When expire() has something to do; `latest` if not before then.
  [[nodiscard]] Time next_deadline(Time latest) const;
  // The deadlines were checked late: acks may lie unread.
  void extend_deadlines(Duration by);
  // After a stall: forgets everything under way, and acks to earlier pings prove nothing.
  void reset();

 private:
  // A ping that must be answered.
  struct Probe {
    MemberId member;
    std::uint32_t number;
    Incarnation incarnation;
    Time ping_deadline;  // then indirect pings are requested
    Time deadline;       // then the member is suspected
    bool is_indirect = false;
  };
  // A ping on behalf of another member.
  struct Relay {
    MemberId requester;
    MemberId target;
    std::uint32_t number;            // of this member's ping
    std::uint32_t requester_number;  // of the request
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
  std::uint32_t first_valid_number_ = 0;  // acks to earlier numbers do not count
  // Positions in the order.
  std::size_t suspect_position_ = 0;
  std::size_t join_position_ = 0;
  std::size_t fast_probe_position_ = 0;
  bool is_odd_period_ = false;
};

}  // namespace rookproxy::cluster
