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

// A setting whose value is out of range.
struct InvalidSetting {
  std::string_view setting;  // The name of the field.
  std::string advice;        // The values that are allowed.

  [[nodiscard]] std::string text() const { return std::string(setting) + ": " + advice; }
};

// Timing and limits of one member.
struct MembershipSettings {
  MemberId self = 0;
  std::size_t member_count = 1;                                 // The number of configured members.
  Duration probe_interval = std::chrono::milliseconds(500);     // SWIM's protocol period.
  Duration ping_timeout = std::chrono::milliseconds(150);       // Indirect pings are requested after it.
  int indirect_ping_count = 3;                                  // The members asked to ping, 0 to 16.
  double suspicion_multiplier = 3;                              // See suspicion_timeout().
  Duration failed_member_retention = std::chrono::minutes(10);  // A failed member is forgotten after it.
  // A timer that is later than this shows that the process has stalled.
  Duration stall_threshold = std::chrono::milliseconds(2000);
  // A member that reaches no other member is considered up to date after this time.
  Duration isolation_timeout = std::chrono::milliseconds(10000);
  int gossip_updates_per_message = 8;  // A message to a new member carries as many as fit instead.
  int max_messages_per_second = 64;    // Limits all messages sent, replies included.
  int fast_probe_count = 5;            // Additional pings per period until the table is up to date.

  // The time from suspicion to failure: suspicion_multiplier * log2(member_count + 1) periods, since gossip
  // takes longer in a larger cluster.
  [[nodiscard]] Duration suspicion_timeout() const;
  // A timer that is later than this counts as a stall: stall_threshold, limited by the suspicion timeout.
  [[nodiscard]] Duration effective_stall_threshold() const;
  // Returns the first setting that is out of range; nothing if all are valid.
  [[nodiscard]] std::optional<InvalidSetting> validate() const;
};

// Counters since the start of the process.
struct MembershipMetrics {
  std::uint64_t probes = 0;
  std::uint64_t indirect_probes = 0;  // Probes for which other members were asked to ping.
  std::uint64_t suspicions = 0;       // Suspicions raised by this member after an unanswered probe.
  std::uint64_t refutations = 0;      // Refutations of suspicions of this member.
  std::uint64_t stalls = 0;
  std::uint64_t ignored_updates = 0;  // Outdated updates, and those with an invalid incarnation.
  std::uint64_t unknown_members = 0;  // Messages from, and updates about, members that are not configured.
  std::uint64_t rate_limited = 0;     // Messages dropped by max_messages_per_second or the relay limit.
};

}  // namespace rookproxy::cluster
