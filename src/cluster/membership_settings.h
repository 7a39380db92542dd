// Settings and counters of Membership.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "cluster/member.h"

namespace rookproxy::cluster {

// A setting that has an impossible value.
struct SettingFault {
  std::string_view setting;  // name of the field
  std::string advice;        // what to set instead

  [[nodiscard]] std::string text() const { return std::string(setting) + ": " + advice; }
};

// Timing and bounds of one member.
struct MembershipSettings {
  MemberId self = 0;
  std::size_t member_count = 1;                                 // configured, this member included
  Duration probe_interval = std::chrono::milliseconds(500);     // SWIM's protocol period
  Duration ping_timeout = std::chrono::milliseconds(150);       // then other members are asked to ping
  int indirect_ping_count = 3;                                  // members that are asked; 0 to 16
  double suspicion_multiplier = 3;                              // see suspicion_timeout()
  Duration failed_member_retention = std::chrono::minutes(10);  // then a failed member is forgotten
  Duration stall_threshold = std::chrono::milliseconds(2000);   // a timer this late: the process stood still
  Duration isolation_timeout = std::chrono::milliseconds(10000);  // without any peer: current all the same
  int gossip_updates_per_message = 8;                             // a member that is new gets as many as fit
  int max_messages_per_second = 64;                               // sent, replies included
  int fast_probe_count = 5;                                       // additional pings per period until current

  // From suspected to failed: suspicion_multiplier * log2(member_count + 1) periods, since gossip takes
  // longer in a larger cluster.
  [[nodiscard]] Duration suspicion_timeout() const;
  // A timer that is later than this counts as a stall.
  [[nodiscard]] Duration effective_stall_threshold() const;
  // The first setting that is out of its range.
  [[nodiscard]] std::optional<SettingFault> find_fault() const;
};

// Counters since the start of the process.
struct MembershipMetrics {
  std::uint64_t probes = 0;
  std::uint64_t indirect_probes = 0;  // probes for which other members were asked to ping
  std::uint64_t suspicions = 0;       // of this member, after a probe that nobody answered
  std::uint64_t refutations = 0;      // of suspicions of this member
  std::uint64_t stalls = 0;
  std::uint64_t ignored_updates = 0;  // older than what is known, or with an impossible incarnation
  std::uint64_t unknown_members = 0;  // messages of, and updates about, members that are not configured
  std::uint64_t rate_limited = 0;     // messages dropped over max_messages_per_second or the relay limit
};

}  // namespace rookproxy::cluster
