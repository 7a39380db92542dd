#include "cluster/plan_lease.h"

#include <algorithm>

namespace rookproxy::cluster {

void PlanLease::extend(Elapsed until, ConsensusMetrics& metrics) {
  lease_expires_at_ = std::max(lease_expires_at_, until);
  extend_quorum(until);
  is_expiry_counted_ = false;
  ++metrics.leases_renewed;
}

void PlanLease::extend_quorum(Elapsed until) { quorum_expires_at_ = std::max(quorum_expires_at_, until); }

void PlanLease::revoke(Elapsed now) {
  lease_expires_at_ = now;
  quorum_expires_at_ = now;
  received_queries_.assign(received_queries_.size(), {});
}

void PlanLease::count_expiry(Elapsed now, ConsensusMetrics& metrics) {
  if (is_expiry_counted_ || is_valid(now)) return;
  ++metrics.leases_expired;
  is_expiry_counted_ = true;
}

void PlanLease::record_query(MemberId from, std::uint32_t query_number, Elapsed now) {
  received_queries_[from] = {query_number, now};
}

std::optional<Elapsed> PlanLease::expiry_of(MemberId from, const Lease& lease,
                                            const ConsensusContext& context) const {
  const ReceivedQuery& query = received_queries_[from];
  if (lease.query_number == 0 || query.number != lease.query_number) return std::nullopt;
  // Also limited by the arrival of the query, so that late delivery does not prolong the lease.
  const Elapsed until =
      std::min(context.now + lease.remaining, query.received_at + context.settings.lease_duration);
  if (until <= context.now) return std::nullopt;
  return until;
}

}  // namespace rookproxy::cluster
