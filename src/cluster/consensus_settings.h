// Settings and counters of Consensus.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "cluster/member.h"

namespace rookproxy::cluster {

// Timing and identity of one member. The default times are those of a lease of four seconds.
struct ConsensusSettings {
  MemberId self = 0;
  std::size_t member_count = 1;         // The number of configured members, 1 to kMaxMembers, with this one.
  Incarnation process_incarnation = 0;  // At the start. Each process of a member must have a different one.
  std::uint64_t seed = 0;               // The seed of the jitter.

  Duration proposal_timeout{500'000};    // A round without a majority by then fails.
  Duration initial_backoff{50'000};      // The delay after a failed round; doubled after each further one.
  Duration max_backoff{800'000};         // The upper bound of that delay.
  Duration request_timeout{10'000'000};  // A requested plan that is not chosen by then is abandoned.
  Duration min_epoch_interval{500'000};  // The minimum time from learning a plan to proposing the next one.

  Duration recovery_query_interval{500'000};        // While not voting; doubled after each query.
  Duration max_recovery_query_interval{4'000'000};  // The upper bound of that interval.
  Duration query_timeout{500'000};                  // Later replies do not renew a lease.
  Duration bootstrap_delay{2'000'000};              // From the loss of the quorum to voting again.

  Duration lease_renewal_interval{1'000'000};
  Duration takeover_delay{200'000};  // Per alive member that ranks before this one.
  // Must be several times lease_renewal_interval plus query_timeout.
  Duration lease_duration{4'000'000};
  Duration instance_close_delay{1'000'000};  // An instance that stays open for this long is closed.

  // If false (in tests only), a new process votes at once, without knowledge of its earlier votes.
  bool recover_after_restart = true;

  // The smallest number of members that is more than half of them.
  [[nodiscard]] std::size_t majority() const { return member_count / 2 + 1; }
  // The smallest number of members that intersects every majority.
  [[nodiscard]] std::size_t recovery_quorum() const { return member_count - majority() + 1; }
};

// Counters since the start of the process.
struct ConsensusMetrics {
  std::uint64_t proposals_started = 0;
  std::uint64_t proposals_succeeded = 0;
  std::uint64_t proposals_failed = 0;
  std::uint64_t nacks_received = 0;  // At most one per member and round is counted.
  std::uint64_t chosen = 0;  // Rounds of this member that chose a plan, including plans of other members.
  std::uint64_t plans_learned = 0;   // Replacements of the known plan.
  std::uint64_t leases_renewed = 0;  // Renewals by any member.
  std::uint64_t leases_expired = 0;
  std::uint64_t votes_withheld = 0;     // Requests for a vote that arrived before recovery was complete.
  std::uint64_t instances_closed = 0;   // Attempts to close an instance that stayed open.
  std::uint64_t bootstraps = 0;         // Times that the member began to vote because the quorum was lost.
  std::uint64_t conflicting_plans = 0;  // Second plans of the known epoch, after the restart of a majority.
};

}  // namespace rookproxy::cluster
