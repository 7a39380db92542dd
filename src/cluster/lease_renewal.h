// Renews the lease on the plan: queries all members and grants the lease once a majority has confirmed it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// The alive member with the lowest id renews the lease. Each of the others takes over after a delay per
// member that ranks before it. Only a voting member renews.
class LeaseRenewal {
 public:
  // All members count as alive until set_alive() is called.
  explicit LeaseRenewal(const ConsensusSettings& settings)
      : rank_(settings.self), alive_count_(settings.member_count) {}

  // Sets the members that are considered alive; this member may be omitted.
  void set_alive(const std::vector<MemberId>& alive, const ConsensusSettings& settings);

  // When the next query is due; kNever while one is pending.
  [[nodiscard]] Elapsed next_query_due(const ConsensusSettings& settings) const;
  // When the pending query times out; kNever if there is none.
  [[nodiscard]] Elapsed query_deadline(const ConsensusSettings& settings) const;
  // Whether a query with this number is pending.
  [[nodiscard]] bool is_pending(std::uint32_t query_number) const {
    return query_ && query_->number == query_number;
  }

  void start_query(std::uint32_t query_number, Elapsed now);
  // Handles a reply to the pending query. Grants the lease to `from` if it was granted to the others already.
  void record_reply(MemberId from, const RecoveryReply& reply, std::uint32_t known_epoch,
                    const ConsensusContext& context);
  // If a majority has confirmed the known plan: grants the lease to all members that have replied, and
  // returns when it expires. Does so once per query.
  [[nodiscard]] std::optional<Elapsed> try_grant(std::uint32_t known_epoch, const ConsensusContext& context);
  // Ends the pending query, which has timed out. `is_instance_open_here`: whether this member has voted in
  // the next epoch. Returns whether an instance has been open for long enough to be closed.
  [[nodiscard]] bool finish_query(bool is_instance_open_here, const ConsensusContext& context);
  // Cancels the pending query, if there is one.
  void cancel_query() { query_.reset(); }

  // Called when this or another member has renewed the lease.
  void on_renewed(const ConsensusContext& context);
  // Called when this member begins or resumes voting; it may renew at once.
  void on_voting_resumed(Elapsed now) { rank_zero_due_ = now; }
  void on_plan_learned(const ConsensusContext& context);

 private:
  friend class ConsensusStateEncoder;

  // The pending query and its replies.
  struct Query {
    std::uint32_t number = 0;
    Elapsed sent_at{};
    bool is_quorum_reached = false;
    bool is_instance_open = false;  // Whether a member has voted in the next epoch.
    MemberSet agreeing;             // The members that vote and know the same epoch.
    MemberSet replied;
  };

  [[nodiscard]] Duration rank_delay(const ConsensusSettings& settings) const;
  [[nodiscard]] Lease make_lease(std::uint32_t known_epoch, const ConsensusContext& context) const;

  std::size_t rank_;  // The number of alive members with a lower id.
  std::size_t alive_count_;
  Elapsed rank_zero_due_{};  // When the member of rank 0 renews.
  std::optional<Query> query_;
  std::optional<Elapsed> instance_open_since_;
};

}  // namespace rookproxy::cluster
