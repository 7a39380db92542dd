#include "cluster/vote_recovery.h"

#include <algorithm>
#include <utility>

namespace rookproxy::cluster {

Elapsed VoteRecovery::bootstrap_due(const ConsensusSettings& settings) const {
  return quorum_lost_at_ ? *quorum_lost_at_ + settings.bootstrap_delay : kNever;
}

void VoteRecovery::start_query(std::uint32_t query_number, const ConsensusContext& context) {
  const ConsensusSettings& settings = context.settings;
  query_ = Query{query_number, context.now, {}};
  previous_non_voting_ = std::move(current_non_voting_);
  current_non_voting_.assign(settings.member_count, {});
  next_query_at_ = context.now + backoff_.next_delay(settings.recovery_query_interval,
                                                     settings.max_recovery_query_interval, context.random);
}

void VoteRecovery::record_reply(MemberId from, const RecoveryReply& reply, std::uint32_t known_epoch,
                                const ConsensusContext& context) {
  query_->replied.set(from);
  if (reply.is_voting) {
    voting_repliers_.set(from);
    highest_reported_epoch_ = std::max(highest_reported_epoch_, reply.highest_voted_epoch);
  } else if (reply.epoch == known_epoch && from < current_non_voting_.size()) {
    // A process counts as not voting only after its second reply, so the next query follows soon.
    if (!has_reply_of(from, context.sender_incarnation)) restart_backoff(context);
    current_non_voting_[from] = {true, context.sender_incarnation};
  }
}

bool VoteRecovery::has_reply_of(MemberId member, Incarnation incarnation) const {
  if (voting_repliers_[member]) return true;
  const auto is_in = [&](const std::vector<NonVotingReply>& replies) {
    if (member >= replies.size()) return false;
    return replies[member].is_received && replies[member].incarnation == incarnation;
  };
  return is_in(current_non_voting_) || is_in(previous_non_voting_);
}

void VoteRecovery::on_peer_query(MemberId from, const ConsensusContext& context) {
  if (!has_reply_of(from, context.sender_incarnation)) restart_backoff(context);
}

void VoteRecovery::restart_backoff(const ConsensusContext& context) {
  backoff_.reset();
  const Duration delay = context.random.jittered(context.settings.recovery_query_interval);
  next_query_at_ = std::min(next_query_at_, context.now + delay);
}

void VoteRecovery::detect_quorum_loss(const ConsensusContext& context) {
  const ConsensusSettings& settings = context.settings;
  if (quorum_lost_at_ || previous_non_voting_.empty()) return;
  if (query_->replied.count() + 1 < settings.majority()) return;
  std::size_t non_voting = 1;  // This member.
  for (std::size_t member = 0; member < current_non_voting_.size(); ++member) {
    const NonVotingReply& current = current_non_voting_[member];
    const NonVotingReply& previous = previous_non_voting_[member];
    const bool is_same_process = current.incarnation == previous.incarnation;
    if (current.is_received && previous.is_received && is_same_process) ++non_voting;
  }
  if (non_voting >= settings.recovery_quorum()) quorum_lost_at_ = context.now;
}

std::optional<std::uint32_t> VoteRecovery::vote_floor(std::uint32_t known_epoch,
                                                      const ConsensusSettings& settings) const {
  if (quorum_lost_at_ || voting_repliers_.count() < settings.recovery_quorum()) return std::nullopt;
  return std::max(highest_reported_epoch_, known_epoch) + 1;
}

void VoteRecovery::wait_for_newer_plan(const ConsensusContext& context) {
  quorum_lost_at_.reset();
  next_query_at_ = context.now + context.random.jittered(context.settings.max_recovery_query_interval);
}

void VoteRecovery::on_voting_resumed() {
  query_.reset();
  forget_quorum_loss();
}

void VoteRecovery::on_plan_learned() { forget_quorum_loss(); }

void VoteRecovery::forget_quorum_loss() {
  previous_non_voting_.clear();
  current_non_voting_.clear();
  quorum_lost_at_.reset();
}

}  // namespace rookproxy::cluster
