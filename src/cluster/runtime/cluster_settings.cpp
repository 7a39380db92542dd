#include "cluster/runtime/cluster_settings.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <chrono>

#include "base/errors.h"

namespace rookproxy {

cluster::MembershipSettings make_membership_settings(const ClusterSettings& settings) {
  cluster::MembershipSettings membership;
  membership.self = settings.peers.self;
  membership.member_count = settings.peers.members.size();
  membership.probe_interval = settings.probe_interval;
  membership.ping_timeout = settings.probe_interval * 3 / 10;
  membership.stall_threshold = 4 * settings.probe_interval;
  membership.isolation_timeout = 20 * settings.probe_interval;
  membership.failed_member_retention = 1200 * settings.probe_interval;
  // At least 32 messages per period are allowed.
  const auto per_second = static_cast<int>(std::chrono::seconds(32) / settings.probe_interval);
  membership.max_messages_per_second = std::max(membership.max_messages_per_second, per_second);
  if (const auto invalid = membership.validate()) throw SettingsError("fleet: " + invalid->text());
  return membership;
}

cluster::ConsensusSettings make_consensus_settings(const ClusterSettings& settings,
                                                   cluster::Incarnation process_incarnation,
                                                   std::uint64_t seed) {
  cluster::ConsensusSettings consensus;
  consensus.self = settings.peers.self;
  consensus.member_count = settings.peers.members.size();
  consensus.process_incarnation = process_incarnation;
  consensus.seed = seed;
  consensus.lease_duration = settings.lease_duration;
  consensus.lease_renewal_interval = settings.lease_duration / 4;
  // A short lease limits the other times, so that several renewals fit into it. A long lease does not
  // increase them, since it does not make replies slower.
  const auto limit = [&](Duration& span, int parts) {
    span = std::min(span, settings.lease_duration / parts);
  };
  limit(consensus.query_timeout, 8);
  limit(consensus.proposal_timeout, 8);
  limit(consensus.min_epoch_interval, 8);
  limit(consensus.recovery_query_interval, 8);
  limit(consensus.max_recovery_query_interval, 1);
  limit(consensus.takeover_delay, 20);
  limit(consensus.instance_close_delay, 4);
  limit(consensus.bootstrap_delay, 2);
  limit(consensus.initial_backoff, 80);
  limit(consensus.max_backoff, 5);
  return consensus;
}

std::uint32_t plan_fingerprint(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += name + '\n';
  return XXH32(text.data(), text.size(), 0);
}

}  // namespace rookproxy
