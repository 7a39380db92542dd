// Recovery after a start: a new process learns in which epochs it may vote, and detects the loss of the
// quorum. docs/consensus-proof.md shows why this is safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// Queries all members, with exponential backoff, while this member does not vote.
class VoteRecovery {
 public:
  explicit VoteRecovery(Elapsed first_query_at) : next_query_at_(first_query_at) {}

  // When the next query is due.
  [[nodiscard]] Elapsed next_query_due() const { return next_query_at_; }
  // When the member starts voting because the quorum is lost; kNever if it is not lost.
  [[nodiscard]] Elapsed bootstrap_due(const ConsensusSettings& settings) const;
  // Whether a query with this number is pending.
  [[nodiscard]] bool is_pending(std::uint32_t query_number) const {
    return query_ && query_->number == query_number;
  }

  void start_query(std::uint32_t query_number, const ConsensusContext& context);
  // Records a reply to the pending query.
  void record_reply(MemberId from, const RecoveryReply& reply, std::uint32_t known_epoch,
                    const ConsensusContext& context);
  // Handles a query of another member. If no reply of that process is known, it has just started or become
  // reachable: the query interval is reset to the shortest one, so that both members see that the other does
  // not vote before either of them votes. At the longest interval a member could miss this permanently, since
  // the peer may be the only one that it can reach.
  void on_peer_query(MemberId from, const ConsensusContext& context);
  // Detects the loss of the quorum: the voting members were certainly no majority at one moment. To be called
  // after each query and reply.
  void detect_quorum_loss(const ConsensusContext& context);
  // The epoch up to which this member must not vote; nothing until enough voting members have replied.
  [[nodiscard]] std::optional<std::uint32_t> vote_floor(std::uint32_t known_epoch,
                                                        const ConsensusSettings& settings) const;

  // Called when the vote floor is above the known epoch. Queries continue at the longest interval.
  void wait_for_newer_plan(const ConsensusContext& context);
  void on_voting_resumed();
  // Discards the replies about the previous epoch.
  void on_plan_learned();

 private:
  friend class ConsensusStateEncoder;

  // The pending query.
  struct Query {
    std::uint32_t number = 0;
    Elapsed sent_at{};
    MemberSet replied;
  };
  // A reply with is_voting = false, at the known epoch.
  struct NonVotingReply {
    bool is_received = false;
    Incarnation incarnation = 0;  // The sender's incarnation.
  };

  [[nodiscard]] bool has_reply_of(MemberId member, Incarnation incarnation) const;
  // Makes the next query due after the shortest interval at the latest.
  void restart_backoff(const ConsensusContext& context);
  void forget_quorum_loss();

  std::optional<Query> query_;
  Elapsed next_query_at_;
  ExponentialBackoff backoff_;
  MemberSet voting_repliers_;  // Members that have replied to any query as voting.
  std::uint32_t highest_reported_epoch_ = 0;
  std::vector<NonVotingReply> previous_non_voting_;  // Replies to the query before the last; may be empty.
  std::vector<NonVotingReply> current_non_voting_;   // Replies to the last query.
  std::optional<Elapsed> quorum_lost_at_;
};

}  // namespace rookproxy::cluster
