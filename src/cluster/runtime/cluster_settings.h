// The settings of this dispatcher as a member of a cluster, and the protocol settings derived from them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "cluster/consensus_settings.h"
#include "cluster/membership_settings.h"
#include "cluster/transport/peer_socket.h"

namespace rookproxy {

// The settings that operators configure.
struct ClusterSettings {
  cluster::transport::TransportSettings peers;
  Duration probe_interval = std::chrono::milliseconds(500);  // The protocol period of Membership.
  Duration lease_duration = std::chrono::seconds(4);         // The duration of a lease on the plan.
  // The zones, which the plan refers to by position. Dispatchers with a different list do not apply the plan.
  std::vector<std::string> zones;
};

// Scales the times of Membership with `probe_interval`; 500 ms results in the defaults. Throws SettingsError.
cluster::MembershipSettings make_membership_settings(const ClusterSettings& settings);

// Scales the times of Consensus with `lease_duration` up to the defaults, which 4 s results in.
cluster::ConsensusSettings make_consensus_settings(const ClusterSettings& settings,
                                                   cluster::Incarnation process_incarnation,
                                                   std::uint64_t seed);

// Identifies a list of names that a plan refers to by position.
std::uint32_t plan_fingerprint(const std::vector<std::string>& names);

}  // namespace rookproxy
