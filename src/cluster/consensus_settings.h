// Settings and counters of Consensus.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "cluster/member.h"

namespace rookproxy::cluster {

// Timing and identity of one member. The defaults suit a lease of four seconds.
struct ConsensusSettings {
  MemberId self = 0;
  std::size_t member_count = 1;         // configured, 1 to kMaxMembers, this member included
  Incarnation process_incarnation = 0;  // at the start; no two processes of one member have the same
  std::uint64_t seed = 0;               // of random pauses

  Duration proposal_timeout{500'000};    // a round without a majority by then is given up
  Duration initial_backoff{50'000};      // pause after a failed round; doubled after each further one
  Duration max_backoff{800'000};         // upper bound of that pause
  Duration request_timeout{10'000'000};  // a requested plan that is not chosen by then is given up
  Duration min_epoch_interval{500'000};  // least time between learning a plan and proposing the next

  Duration recovery_query_interval{500'000};        // while not voting; doubled after each query
  Duration max_recovery_query_interval{4'000'000};  // upper bound of that interval
  Duration query_timeout{500'000};                  // later replies renew no lease
  Duration bootstrap_delay{2'000'000};              // from the loss of the quorum to voting again

  Duration lease_renewal_interval{1'000'000};
  Duration takeover_delay{200'000};          // per member that is alive and ranks before this one
  Duration lease_duration{4'000'000};        // several times lease_renewal_interval plus query_timeout
  Duration instance_close_delay{1'000'000};  // an instance that stays open this long is closed

  bool recover_after_restart = true;  // false, in tests only: votes at once and forgets its earlier votes

  // The smallest number of members that is more than half of them.
  [[nodiscard]] std::size_t majority() const { return member_count / 2 + 1; }
  // The smallest number of members that has one in common with every majority.
  [[nodiscard]] std::size_t recovery_quorum() const { return member_count - majority() + 1; }
};

// Counters since the start of the process.
struct ConsensusMetrics {
  std::uint64_t proposals_started = 0;
  std::uint64_t proposals_succeeded = 0;
  std::uint64_t proposals_failed = 0;
  std::uint64_t nacks_received = 0;  // at most one per member and round
  std::uint64_t chosen = 0;          // own rounds whose plan was chosen, also if it was another member's
  std::uint64_t plans_learned = 0;   // replacements of the plan known here
  std::uint64_t leases_renewed = 0;  // whichever member renewed them
  std::uint64_t leases_expired = 0;
  std::uint64_t votes_withheld = 0;     // requests for a vote that came before recovery was complete
  std::uint64_t instances_closed = 0;   // attempts to close an instance that stayed open
  std::uint64_t bootstraps = 0;         // times it began to vote because the quorum was lost
  std::uint64_t conflicting_plans = 0;  // a second plan of the known epoch: a majority had restarted
};

}  // namespace rookproxy::cluster
