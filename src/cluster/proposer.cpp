#include "cluster/proposer.h"

#include <algorithm>

namespace rookproxy::cluster {

void Proposer::request(const ClusterConfig& plan, Elapsed earliest_start, const ConsensusContext& context) {
  requested_plan_ = plan;
  state_ = ProposalState::kInProgress;
  start_work(earliest_start, context);
}

void Proposer::close_instance(Elapsed earliest_start, const ConsensusContext& context) {
  is_closing_ = true;
  ++context.metrics.instances_closed;
  start_work(earliest_start, context);
}

void Proposer::start_work(Elapsed earliest_start, const ConsensusContext& context) {
  request_deadline_ = context.now + context.settings.request_timeout;
  retry_at_ = std::max(retry_at_, earliest_start);
}

void Proposer::expire(const ConsensusContext& context) {
  if (round_ && context.now >= round_->deadline) finish_round(false, context);
  if (!has_work() || context.now < request_deadline_) return;
  if (round_) finish_round(false, context);
  if (requested_plan_) state_ = ProposalState::kNoMajority;
  requested_plan_.reset();
  is_closing_ = false;
}

Elapsed Proposer::next_expiry() const {
  Elapsed next = has_work() ? request_deadline_ : kNever;
  if (round_) next = std::min(next, round_->deadline);
  return next;
}

std::optional<Ballot> Proposer::start_round(const ConsensusContext& context) {
  if (highest_round_ >= kMaxRound) {  // Correct members never reach this limit.
    retry_at_ = context.now + context.settings.max_backoff;
    return std::nullopt;
  }
  ++context.metrics.proposals_started;
  Round round;
  round.ballot = {++highest_round_, context.settings.self};
  round.deadline = context.now + context.settings.proposal_timeout;
  round_ = std::move(round);
  return round_->ballot;
}

void Proposer::finish_round(bool is_won, const ConsensusContext& context) {
  round_.reset();
  if (is_won) {
    ++context.metrics.proposals_succeeded;
    return;
  }
  ++context.metrics.proposals_failed;
  const ConsensusSettings& settings = context.settings;
  retry_at_ =
      context.now + backoff_.next_delay(settings.initial_backoff, settings.max_backoff, context.random);
}

bool Proposer::record_promise(MemberId from, const std::optional<Ballot>& accepted,
                              const std::optional<ClusterConfig>& accepted_plan, std::size_t majority) {
  Round& round = *round_;
  round.granted.set(from);
  if (accepted && accepted_plan &&
      (!round.highest_accepted_ballot || *round.highest_accepted_ballot < *accepted)) {
    round.highest_accepted_ballot = accepted;
    round.highest_accepted_plan = accepted_plan;
  }
  return round.granted.count() >= majority;
}

const ClusterConfig& Proposer::start_accepting(const ClusterConfig& known_plan) {
  Round& round = *round_;
  round.is_accepting = true;
  round.granted.reset();
  round.rejected.reset();
  if (round.highest_accepted_plan) {
    round.value = *round.highest_accepted_plan;
  } else if (requested_plan_) {
    round.value = *requested_plan_;
  } else {
    round.value = known_plan;
    round.value.epoch = known_plan.epoch + 1;
  }
  return round.value;
}

std::optional<ClusterConfig> Proposer::record_acceptance(MemberId from, const ConsensusContext& context) {
  round_->granted.set(from);
  if (round_->granted.count() < context.settings.majority()) return std::nullopt;
  ClusterConfig chosen = round_->value;
  finish_round(true, context);
  ++context.metrics.chosen;
  return chosen;
}

void Proposer::record_nack(MemberId from, const Ballot& promised, const ConsensusContext& context) {
  if (!round_ || promised < round_->ballot) return;  // The rejection is of an earlier round.
  observe_round(promised.round);
  if (!round_->rejected[from]) ++context.metrics.nacks_received;
  round_->rejected.set(from);
  const std::size_t possible = context.settings.member_count - round_->rejected.count();
  if (possible < context.settings.majority()) finish_round(false, context);
}

void Proposer::yield_to_higher_ballot(const ConsensusContext& context) {
  if (round_) finish_round(false, context);
  if (!has_work()) return;
  const Duration delay = context.random.jittered(context.settings.proposal_timeout);
  retry_at_ = std::max(retry_at_, context.now + delay);
}

void Proposer::observe_round(std::uint32_t round) { highest_round_ = std::max(highest_round_, round); }

void Proposer::on_plan_learned(const ClusterConfig& plan, const ConsensusContext& context) {
  if (round_) finish_round(false, context);
  highest_round_ = 0;
  backoff_.reset();
  retry_at_ = context.now + context.settings.min_epoch_interval;
  is_closing_ = false;
  if (requested_plan_) {
    state_ = *requested_plan_ == plan ? ProposalState::kChosen : ProposalState::kSuperseded;
    requested_plan_.reset();
  }
}

}  // namespace rookproxy::cluster
