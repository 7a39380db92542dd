#include "cluster/membership_settings.h"

#include <algorithm>
#include <cmath>

namespace rookproxy::cluster {

Duration MembershipSettings::suspicion_timeout() const {
  const double periods = suspicion_multiplier;
  return Duration(static_cast<Duration::rep>(static_cast<double>(probe_interval.count()) * periods *
                                             std::log2(static_cast<double>(member_count) + 1)));
}

Duration MembershipSettings::effective_stall_threshold() const {
  return std::min(suspicion_timeout() / 2, stall_threshold);
}

std::optional<InvalidSetting> MembershipSettings::validate() const {
  struct Check {
    bool is_valid;
    std::string_view setting;
    std::string advice;
  };
  const Check checks[] = {
      {member_count >= 1 && member_count <= kMaxMembers, "member_count",
       "set 1 to " + std::to_string(kMaxMembers)},
      {self < member_count, "self", "set the position of this member in the list of members, from 0"},
      {probe_interval >= Duration(1000), "probe_interval", "set 1 ms or more"},
      {ping_timeout > Duration(0) && ping_timeout <= probe_interval / 2, "ping_timeout",
       "set more than 0 and at most half of probe_interval"},
      {indirect_ping_count >= 0 && indirect_ping_count <= 16, "indirect_ping_count", "set 0 to 16"},
      {suspicion_multiplier >= 1 && suspicion_multiplier <= 100, "suspicion_multiplier", "set 1 to 100"},
      {failed_member_retention >= suspicion_timeout(), "failed_member_retention",
       "set at least the suspicion timeout"},
      {stall_threshold >= probe_interval, "stall_threshold", "set at least probe_interval"},
      {isolation_timeout >= probe_interval, "isolation_timeout", "set at least probe_interval"},
      {gossip_updates_per_message >= 1 && gossip_updates_per_message <= 100, "gossip_updates_per_message",
       "set 1 to 100"},
      {max_messages_per_second >= 2 * (indirect_ping_count + 4), "max_messages_per_second",
       "set at least 2 * indirect_ping_count + 8"},
      {fast_probe_count >= 0 && fast_probe_count <= 16, "fast_probe_count", "set 0 to 16"},
  };
  for (const Check& check : checks) {
    if (!check.is_valid) return InvalidSetting{check.setting, check.advice};
  }
  return std::nullopt;
}

}  // namespace rookproxy::cluster
