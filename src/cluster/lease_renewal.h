// Renews the lease on the plan: queries all members and grants the lease once a majority has confirmed it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// The alive member with the lowest id renews; each of the others takes over after a delay per member that
// ranks before it. Only a voting member renews.
class LeaseRenewal {
 public:
  // Until set_alive() is called, all members count as alive.
  explicit LeaseRenewal(const ConsensusSettings& settings)
      : rank_(settings.self), alive_count_(settings.member_count) {}

  // The members that are believed to be alive, with this one or without it.
  void set_alive(const std::vector<MemberId>& alive, const ConsensusSettings& settings);

  // When the next query is due; kNever while one is pending.
  [[nodiscard]] Elapsed next_query_due(const ConsensusSettings& settings) const;
  // When the pending query times out; kNever without one.
  [[nodiscard]] Elapsed query_deadline(const ConsensusSettings& settings) const;
  // Whether a query with this number is pending.
  [[nodiscard]] bool is_pending(std::uint32_t query_number) const {
    return query_ && query_->number == query_number;
  }

  void start_query(std::uint32_t query_number, Elapsed now);
  // A reply to the pending query. Grants the lease to `from` if the others have it already.
  void record_reply(MemberId from, const RecoveryReply& reply, std::uint32_t known_epoch,
                    const ConsensusContext& context);
  // If a majority has now confirmed the known plan: grants the lease to all that have replied, and returns
  // when it expires. Once for each query.
  [[nodiscard]] std::optional<Elapsed> try_grant(std::uint32_t known_epoch, const ConsensusContext& context);
  // The pending query has timed out. `is_instance_open_here`: this member has voted in the next epoch.
  // Returns whether an instance has stayed open for long enough to be closed.
  [[nodiscard]] bool finish_query(bool is_instance_open_here, const ConsensusContext& context);
  // Forgets the pending query, if there is one.
  void cancel_query() { query_.reset(); }

  // The lease was renewed, by this member or another.
  void on_renewed(const ConsensusContext& context);
  // This member votes (again), and may renew at once.
  void on_voting_resumed(Elapsed now) { base_ = now; }
  void on_plan_learned(const ConsensusContext& context);

 private:
  friend class ConsensusStateEncoder;

  // The query that is pending, and what has come of it.
  struct Query {
    std::uint32_t number = 0;
    Elapsed sent_at{};
    bool is_quorum_reached = false;
    bool is_instance_open = false;  // some member has voted in the next epoch
    MemberSet agreeing;             // vote, and know the same epoch
    MemberSet replied;
  };

  [[nodiscard]] Duration rank_delay(const ConsensusSettings& settings) const;
  [[nodiscard]] Lease make_lease(std::uint32_t known_epoch, const ConsensusContext& context) const;

  std::size_t rank_;  // alive members with a lower id
  std::size_t alive_count_;
  Elapsed base_{};  // when the member of rank 0 renews
  std::optional<Query> query_;
  std::optional<Elapsed> instance_open_since_;
};

}  // namespace rookproxy::cluster
