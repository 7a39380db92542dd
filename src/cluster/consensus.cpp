#include "cluster/consensus.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace rookproxy::cluster {

namespace {

// The minimum time between two queries for a newer plan.
constexpr Duration kCatchUpInterval(100'000);

ConsensusSettings with_valid_member_count(ConsensusSettings settings) {
  settings.member_count = std::clamp<std::size_t>(settings.member_count, 1, kMaxMembers);
  return settings;
}

// Spreads the first queries of members that start at the same time.
Elapsed first_query_time(const ConsensusSettings& settings, JitterSource& random) {
  const auto interval = static_cast<std::uint64_t>(settings.recovery_query_interval.count());
  return Elapsed(static_cast<Elapsed::rep>(random.below(interval + 1)));
}

// Derived from the incarnation, so that replies to queries of an earlier process are not taken for replies to
// queries of this one.
std::uint32_t first_query_number(const ConsensusSettings& settings) {
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(&settings.process_incarnation,
                                                         sizeof settings.process_incarnation, settings.self));
}

bool is_valid_ballot(const Ballot& ballot, MemberId from) {
  return ballot.member == from && ballot.round <= kMaxRound;
}

}  // namespace

Consensus::Consensus(const ConsensusSettings& settings, ClusterConfig initial_plan, Time now)
    : settings_(with_valid_member_count(settings)),
      clock_(now),
      random_(settings_.seed ^ settings_.process_incarnation),
      plan_(std::move(initial_plan)),
      acceptor_(!settings_.recover_after_restart),
      lease_(settings_.member_count),
      renewal_(settings_),
      recovery_(first_query_time(settings_, random_)),
      query_number_(first_query_number(settings_)) {
  plan_.epoch = 0;
}

// ---- Events and time --------------------------------------------------------------------------------------

ConsensusContext Consensus::make_context(Outbox& outbox, Incarnation sender_incarnation) {
  return {settings_, clock_.elapsed(), random_, metrics_, outbox, sender_incarnation};
}

std::vector<OutgoingMessage> Consensus::receive(Time now, MemberId from, Incarnation incarnation,
                                                const MessageBody& body) {
  advance_clock(now);
  Outbox outbox(settings_.self, settings_.member_count);
  const ConsensusContext context = make_context(outbox, incarnation);
  // Timers run first: a process that was stopped may find old messages in its socket.
  run_timers(context);
  if (from >= settings_.member_count || from == settings_.self) return outbox.take();
  std::visit(
      [&]<class Message>(const Message& message) {
        if constexpr (!MembershipMessage<Message>) handle(from, message, context);
      },
      body);
  return outbox.take();
}

std::vector<OutgoingMessage> Consensus::on_timer(Time now) {
  advance_clock(now);
  Outbox outbox(settings_.self, settings_.member_count);
  run_timers(make_context(outbox));
  return outbox.take();
}

void Consensus::advance_clock(Time now) {
  if (clock_.advance(now)) return;
  lease_.revoke(clock_.elapsed());
  renewal_.cancel_query();
}

void Consensus::run_timers(const ConsensusContext& context) {
  const Elapsed now = context.now;
  lease_.count_expiry(now, metrics_);
  if (now >= renewal_.query_deadline(settings_)) finish_renewal_query(context);
  proposer_.expire(context);
  if (now >= recovery_.bootstrap_due(settings_)) {
    ++metrics_.bootstraps;
    start_voting(plan_.epoch, context);
  }
  if (acceptor_.is_retired()) return;
  if (!is_voting()) {
    if (now >= recovery_.next_query_due()) send_recovery_query(context);
    return;
  }
  if (now >= proposer_.next_start()) start_proposal(context);
  if (now >= renewal_.next_query_due(settings_)) send_renewal_query(context);
}

Time Consensus::next_due() const {
  Elapsed next = std::min({lease_.next_expiry(), renewal_.query_deadline(settings_), proposer_.next_expiry(),
                           recovery_.bootstrap_due(settings_)});
  if (!acceptor_.is_retired()) {
    const Elapsed next_action = is_voting()
                                    ? std::min(proposer_.next_start(), renewal_.next_query_due(settings_))
                                    : recovery_.next_query_due();
    next = std::min(next, next_action);
  }
  return clock_.wall_time(next);
}

bool Consensus::lease_holds(Time now) const {
  return now >= clock_.last_event_time() && lease_.is_valid(clock_.elapsed_at(now));
}

bool Consensus::has_quorum(Time now) const {
  return now >= clock_.last_event_time() && lease_.has_quorum(clock_.elapsed_at(now));
}

// ---- Proposing --------------------------------------------------------------------------------------------

ProposeOutcome Consensus::propose(Time now, const ClusterConfig& next_plan) {
  advance_clock(now);
  Outbox outbox(settings_.self, settings_.member_count);
  const ConsensusContext context = make_context(outbox);
  run_timers(context);
  if (!is_voting()) return {ProposeResult::kNotVoting, outbox.take()};
  if (proposer_.has_request()) return {ProposeResult::kBusy, outbox.take()};
  if (next_plan.epoch != next_epoch()) return {ProposeResult::kWrongEpoch, outbox.take()};
  if (!is_within_limits(next_plan)) return {ProposeResult::kTooLarge, outbox.take()};
  proposer_.request(next_plan, earliest_next_proposal(), context);
  run_timers(context);
  return {ProposeResult::kStarted, outbox.take()};
}

void Consensus::start_proposal(const ConsensusContext& context) {
  const std::optional<Ballot> ballot = proposer_.start_round(context);
  if (!ballot) return;
  // This member votes for its own ballot first, so that no later process of it uses this ballot again.
  acceptor_.promise(next_epoch(), *ballot);
  context.outbox.broadcast(Prepare{next_epoch(), *ballot});
  record_promise(settings_.self, acceptor_.accepted_ballot(), acceptor_.accepted_plan(), context);
}

void Consensus::record_promise(MemberId from, const std::optional<Ballot>& accepted,
                               const std::optional<ClusterConfig>& accepted_plan,
                               const ConsensusContext& context) {
  if (!proposer_.record_promise(from, accepted, accepted_plan, settings_.majority())) return;
  const Ballot ballot = *proposer_.ballot();
  const ClusterConfig& plan = proposer_.start_accepting(plan_);
  context.outbox.broadcast(Accept{ballot, plan});
  acceptor_.accept(ballot, plan);
  record_acceptance(settings_.self, context);
}

void Consensus::record_acceptance(MemberId from, const ConsensusContext& context) {
  const std::optional<ClusterConfig> chosen = proposer_.record_acceptance(from, context);
  if (!chosen) return;
  learn_plan(*chosen, context);
  context.outbox.broadcast(Chosen{*chosen});
}

void Consensus::learn_plan(const ClusterConfig& plan, const ConsensusContext& context) {
  const bool was_voting = is_voting();
  ++metrics_.plans_learned;
  plan_ = plan;
  learned_at_ = context.now;
  acceptor_.start_next_instance();
  proposer_.on_plan_learned(plan_, context);
  recovery_.on_plan_learned();
  // The lease stays valid: it states that a majority held no plan newer than the known one, which also holds
  // for a newer known plan.
  renewal_.on_plan_learned(context);
  if (!was_voting && is_voting()) on_voting_resumed(context.now);
}

// ---- Messages of Paxos ------------------------------------------------------------------------------------

// Checks whether a request for a vote may be granted, and replies to it if not.
bool Consensus::can_vote_for(MemberId from, std::uint32_t epoch, const Ballot& ballot,
                             const ConsensusContext& context) {
  if (epoch <= plan_.epoch) {
    context.outbox.send(from, Chosen{plan_});
    return false;
  }
  if (epoch > next_epoch()) {
    request_newer_plan(from, context);
    return false;
  }
  if (!is_voting()) {
    ++metrics_.votes_withheld;
    return false;
  }
  proposer_.observe_round(ballot.round);
  if (acceptor_.has_promised_above(ballot)) {
    context.outbox.send(from, Nack{epoch, *acceptor_.promised_ballot()});
    return false;
  }
  return true;
}

void Consensus::handle(MemberId from, const Prepare& message, const ConsensusContext& context) {
  if (!is_valid_ballot(message.ballot, from)) return;
  if (!can_vote_for(from, message.epoch, message.ballot, context)) return;
  proposer_.yield_to_higher_ballot(context);
  acceptor_.promise(message.epoch, message.ballot);
  context.outbox.send(
      from, Promise{message.epoch, message.ballot, acceptor_.accepted_ballot(), acceptor_.accepted_plan()});
}

void Consensus::handle(MemberId from, const Accept& message, const ConsensusContext& context) {
  if (!is_valid_ballot(message.ballot, from) || !is_within_limits(message.plan)) return;
  if (!can_vote_for(from, message.plan.epoch, message.ballot, context)) return;
  proposer_.yield_to_higher_ballot(context);
  acceptor_.accept(message.ballot, message.plan);
  context.outbox.send(from, Accepted{message.plan.epoch, message.ballot});
}

void Consensus::handle(MemberId from, const Promise& message, const ConsensusContext& context) {
  if (!proposer_.is_preparing() || message.epoch != next_epoch()) return;
  if (message.ballot != *proposer_.ballot()) return;
  if (message.plan && (message.plan->epoch != next_epoch() || !is_within_limits(*message.plan))) return;
  record_promise(from, message.accepted, message.plan, context);
}

void Consensus::handle(MemberId from, const Accepted& message, const ConsensusContext& context) {
  if (!proposer_.is_accepting() || message.epoch != next_epoch()) return;
  if (message.ballot != *proposer_.ballot()) return;
  record_acceptance(from, context);
}

void Consensus::handle(MemberId from, const Nack& message, const ConsensusContext& context) {
  if (message.epoch != next_epoch() || message.promised.round > kMaxRound) return;
  proposer_.record_nack(from, message.promised, context);
}

void Consensus::handle(MemberId, const Chosen& message, const ConsensusContext& context) {
  if (!is_within_limits(message.plan)) return;
  if (message.plan.epoch > plan_.epoch) {
    learn_plan(message.plan, context);
  } else if (message.plan.epoch == plan_.epoch && message.plan != plan_ && plan_.epoch != 0) {
    ++metrics_.conflicting_plans;
  }
}

// ---- Queries, recovery and the lease ----------------------------------------------------------------------

std::uint32_t Consensus::next_query_number() {
  if (++query_number_ == 0) ++query_number_;  // 0 means no number.
  return query_number_;
}

// Called when a message has shown that another member knows a newer plan.
void Consensus::request_newer_plan(MemberId from, const ConsensusContext& context) {
  if (context.now < next_catch_up_at_) return;
  next_catch_up_at_ = context.now + kCatchUpInterval;
  context.outbox.send(from, RecoveryQuery{0, plan_.epoch});
}

void Consensus::handle(MemberId from, const RecoveryQuery& message, const ConsensusContext& context) {
  if (message.number != 0) lease_.record_query(from, message.number, context.now);
  if (!acceptor_.has_recovered()) recovery_.on_peer_query(from, context);
  if (message.epoch < plan_.epoch) context.outbox.send(from, Chosen{plan_});
  context.outbox.send(
      from, RecoveryReply{message.number, plan_.epoch, is_voting(), acceptor_.highest_voted_epoch()});
  if (message.epoch > plan_.epoch) request_newer_plan(from, context);
}

void Consensus::handle(MemberId from, const RecoveryReply& message, const ConsensusContext& context) {
  if (renewal_.is_pending(message.number)) {
    renewal_.record_reply(from, message, plan_.epoch, context);
    try_grant_lease(context);
  } else if (recovery_.is_pending(message.number)) {
    recovery_.record_reply(from, message, plan_.epoch, context);
    evaluate_recovery(context);
  }
}

void Consensus::handle(MemberId from, const Lease& message, const ConsensusContext& context) {
  const std::optional<Elapsed> until = lease_.expiry_of(from, message, context);
  if (!until) return;
  if (message.epoch <= plan_.epoch) {
    extend_lease(*until, context);
    return;
  }
  lease_.extend_quorum(*until);
  renewal_.on_renewed(context);
  request_newer_plan(from, context);
}

void Consensus::send_renewal_query(const ConsensusContext& context) {
  const std::uint32_t number = next_query_number();
  renewal_.start_query(number, context.now);
  context.outbox.broadcast(RecoveryQuery{number, plan_.epoch});
  try_grant_lease(context);  // A cluster of one member needs no reply.
}

void Consensus::try_grant_lease(const ConsensusContext& context) {
  const std::optional<Elapsed> until = renewal_.try_grant(plan_.epoch, context);
  if (until) extend_lease(*until, context);
}

void Consensus::extend_lease(Elapsed until, const ConsensusContext& context) {
  lease_.extend(until, metrics_);
  renewal_.on_renewed(context);
}

void Consensus::finish_renewal_query(const ConsensusContext& context) {
  const bool is_instance_open_here = acceptor_.highest_voted_epoch_of_process() > plan_.epoch;
  const bool is_stuck = renewal_.finish_query(is_instance_open_here, context);
  if (is_stuck && !proposer_.has_work()) proposer_.close_instance(earliest_next_proposal(), context);
}

void Consensus::send_recovery_query(const ConsensusContext& context) {
  const std::uint32_t number = next_query_number();
  recovery_.start_query(number, context);
  context.outbox.broadcast(RecoveryQuery{number, plan_.epoch});
  evaluate_recovery(context);
}

void Consensus::evaluate_recovery(const ConsensusContext& context) {
  recovery_.detect_quorum_loss(context);
  if (acceptor_.has_recovered()) return;
  const std::optional<std::uint32_t> vote_floor = recovery_.vote_floor(plan_.epoch, settings_);
  if (vote_floor) start_voting(*vote_floor, context);
}

void Consensus::start_voting(std::uint32_t vote_floor, const ConsensusContext& context) {
  acceptor_.start_voting(vote_floor);
  if (is_voting()) {
    on_voting_resumed(context.now);
  } else {
    recovery_.wait_for_newer_plan(context);
  }
}

void Consensus::on_voting_resumed(Elapsed now) {
  recovery_.on_voting_resumed();
  renewal_.on_voting_resumed(now);
}

}  // namespace rookproxy::cluster
