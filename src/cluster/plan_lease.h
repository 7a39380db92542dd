// The lease on the plan, as its holder sees it: until when the known plan may be fully acted on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// Every member holds its own lease, whichever member renews it.
class PlanLease {
 public:
  explicit PlanLease(std::size_t member_count) : received_queries_(member_count) {}

  // Whether a majority has lately confirmed that it holds the known plan.
  [[nodiscard]] bool is_valid(Elapsed now) const { return now < lease_expires_at_; }
  // Whether a majority has lately been heard of, though it may hold the plan of another epoch.
  [[nodiscard]] bool has_quorum(Elapsed now) const { return now < quorum_expires_at_; }
  // When count_expiry() has something to do; kNever if no lease is held.
  [[nodiscard]] Elapsed next_expiry() const { return is_expiry_counted_ ? kNever : lease_expires_at_; }

  // A majority holds the known plan. Never shortens the lease.
  void extend(Elapsed until, ConsensusMetrics& metrics);
  // A majority exists, at another epoch.
  void extend_quorum(Elapsed until);
  // The wall clock has gone back: how much time has passed is unknown, so nothing is held any longer.
  void revoke(Elapsed now);
  // Counts the end of the lease once.
  void count_expiry(Elapsed now, ConsensusMetrics& metrics);

  // A renewal query came from `from`; its Lease must name it.
  void record_query(MemberId from, std::uint32_t query_number, Elapsed now);
  // Until when a Lease from `from` is valid; nothing if it answers no query of that member or has expired.
  [[nodiscard]] std::optional<Elapsed> expiry_of(MemberId from, const Lease& lease,
                                                 const ConsensusContext& context) const;

 private:
  friend class ConsensusStateEncoder;

  // A renewal query of another member.
  struct ReceivedQuery {
    std::uint32_t number = 0;  // 0: none
    Elapsed received_at{};
  };

  Elapsed lease_expires_at_{};
  Elapsed quorum_expires_at_{};
  bool is_expiry_counted_ = true;
  std::vector<ReceivedQuery> received_queries_;  // the last one of each member
};

}  // namespace rookproxy::cluster
