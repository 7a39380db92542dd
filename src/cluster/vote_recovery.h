// How a process that has just started learns in which epochs it may vote, and how it detects that the quorum
// is lost. docs/consensus-proof.md shows why this is safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// Queries all members, with exponential backoff, as long as this member does not vote.
class VoteRecovery {
 public:
  explicit VoteRecovery(Elapsed first_query_at) : next_query_at_(first_query_at) {}

  // When the next query is due.
  [[nodiscard]] Elapsed next_query_due() const { return next_query_at_; }
  // When the member votes again because the quorum is lost; kNever if it is not.
  [[nodiscard]] Elapsed bootstrap_due(const ConsensusSettings& settings) const;
  // Whether a query with this number is pending.
  [[nodiscard]] bool is_pending(std::uint32_t query_number) const {
    return query_ && query_->number == query_number;
  }

  void start_query(std::uint32_t query_number, const ConsensusContext& context);
  // A reply to the pending query.
  void record_reply(MemberId from, const RecoveryReply& reply, std::uint32_t known_epoch,
                    const ConsensusContext& context);
  // A query of another member. If no reply of that process is known, it has just started or come into reach:
  // queries start again at the shortest interval, so that both members see each other not voting before
  // either of them votes. A member that queried at the longest interval could miss that for good: its peer
  // may be the only one that it can reach.
  void on_peer_query(MemberId from, const ConsensusContext& context);
  // Checks after a query or a reply whether so many members do not vote that the others are no majority, and
  // whether that was so at one moment for certain.
  void detect_quorum_loss(const ConsensusContext& context);
  // The epoch up to which this member must not vote, once enough voting members have replied.
  [[nodiscard]] std::optional<std::uint32_t> vote_floor(std::uint32_t known_epoch,
                                                        const ConsensusSettings& settings) const;

  // The floor is known but lies above the known epoch: queries go on, at the longest interval.
  void wait_for_newer_plan(const ConsensusContext& context);
  void on_voting_resumed();
  // Replies about the epoch before are of no use.
  void on_plan_learned();

 private:
  friend class ConsensusStateEncoder;

  // The query that is pending.
  struct Query {
    std::uint32_t number = 0;
    Elapsed sent_at{};
    MemberSet replied;
  };
  // A reply with is_voting = false, at the known epoch.
  struct NonVotingReply {
    bool is_received = false;
    Incarnation incarnation = 0;  // of the sender
  };

  [[nodiscard]] bool has_reply_of(MemberId member, Incarnation incarnation) const;
  // The next query is due after the shortest interval at the latest.
  void restart_backoff(const ConsensusContext& context);
  void forget_quorum_loss();

  std::optional<Query> query_;
  Elapsed next_query_at_;
  ExponentialBackoff backoff_;
  MemberSet voting_repliers_;  // to any query
  std::uint32_t highest_reported_epoch_ = 0;
  std::vector<NonVotingReply> previous_non_voting_;  // to the query before the last; empty: none
  std::vector<NonVotingReply> current_non_voting_;   // to the last query
  std::optional<Elapsed> quorum_lost_at_;
};

}  // namespace rookproxy::cluster
