// Settings of this dispatcher's membership in a cluster, and what the protocols derive from them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/consensus_settings.h"
#include "cluster/membership_settings.h"
#include "cluster/transport/peer_socket.h"

namespace rookproxy {

// What operators configure.
struct ClusterSettings {
  cluster::transport::TransportSettings peers;
  Duration probe_interval = std::chrono::milliseconds(500);  // of membership
  Duration lease_duration = std::chrono::seconds(4);         // of the plan, without news from a majority
  // The zones that the plan numbers by position. Dispatchers with another list do not act on the plan.
  std::vector<std::string> zones;
};

// The timing of Membership in proportion to `probe_interval`; 500 ms gives its defaults. Throws
// SettingsError.
cluster::MembershipSettings make_membership_settings(const ClusterSettings& settings);

// The timing of Consensus in proportion to `lease_duration`; 4 s gives its defaults.
cluster::ConsensusSettings make_consensus_settings(const ClusterSettings& settings,
                                                   cluster::Incarnation process_incarnation,
                                                   std::uint64_t seed);

// Identifies the list of names that a plan numbers by position.
std::uint32_t plan_fingerprint(const std::vector<std::string>& names);

}  // namespace rookproxy
