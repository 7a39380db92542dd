// The lease on the plan at one holder: the time until which all parts of the known plan may be applied.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// Every member holds a lease of its own, regardless of which member renews it.
class PlanLease {
 public:
  explicit PlanLease(std::size_t member_count) : received_queries_(member_count) {}

  // Whether a majority has confirmed within the lease duration that it holds the known plan.
  [[nodiscard]] bool is_valid(Elapsed now) const { return now < lease_expires_at_; }
  // Whether a majority has responded within the lease duration, possibly with a plan of another epoch.
  [[nodiscard]] bool has_quorum(Elapsed now) const { return now < quorum_expires_at_; }
  // When count_expiry() is due; kNever if no lease is held.
  [[nodiscard]] Elapsed next_expiry() const { return is_expiry_counted_ ? kNever : lease_expires_at_; }

  // Called when a majority holds the known plan. Never shortens the lease.
  void extend(Elapsed until, ConsensusMetrics& metrics);
  // Called when a majority has responded with another epoch.
  void extend_quorum(Elapsed until);
  // Ends the lease because the wall clock has gone back, after which the elapsed time is unknown.
  void revoke(Elapsed now);
  // Counts the expiry of the lease once.
  void count_expiry(Elapsed now, ConsensusMetrics& metrics);

  // Records a renewal query of `from`. A Lease of that member must name it.
  void record_query(MemberId from, std::uint32_t query_number, Elapsed now);
  // The time until which a Lease from `from` is valid; nothing if it has expired or names another query than
  // that member's last one.
  [[nodiscard]] std::optional<Elapsed> expiry_of(MemberId from, const Lease& lease,
                                                 const ConsensusContext& context) const;

 private:
  friend class ConsensusStateEncoder;

  // A renewal query of another member.
  struct ReceivedQuery {
    std::uint32_t number = 0;  // 0 if there was no query.
    Elapsed received_at{};
  };

  Elapsed lease_expires_at_{};
  Elapsed quorum_expires_at_{};
  bool is_expiry_counted_ = true;
  std::vector<ReceivedQuery> received_queries_;  // The last query of each member.
};

}  // namespace rookproxy::cluster
