#include "cluster/agreement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <limits>
#include <type_traits>
#include <utility>

namespace rookproxy::cluster {

namespace {

constexpr Duration kCatchUpInterval(100'000);       // between two questions of who has fallen behind
constexpr std::uint32_t kMaxRound = 1'000'000'000;  // beyond it a ballot is no honest one
constexpr Duration kNever = Duration::max() / 4;

bool is_within_limits(const ClusterConfig& plan) {
  return plan.zones.size() <= kMaxZones && plan.retirements.size() <= kMaxRetirements;
}

void put(std::string& out, std::uint64_t value) {
  do {
    out.push_back(static_cast<char>(value % 128 + (value >= 128 ? 128 : 0)));
    value /= 128;
  } while (value != 0);
}
void put(std::string& out, const ClusterConfig& plan) {
  put(out, plan.epoch);
  put(out, plan.fingerprint);
  put(out, plan.zones.size());
  for (const auto& zone : plan.zones) {
    put(out, zone.zone);
    put(out, static_cast<std::uint64_t>(zone.state));
    put(out, zone.share);
    put(out, zone.step);
    put(out, static_cast<std::uint64_t>(zone.since.time_since_epoch().count()));
  }
  put(out, plan.retirements.size());
  for (const auto& one : plan.retirements) {
    put(out, one.site);
    put(out, static_cast<std::uint64_t>(one.state));
    put(out, one.weight);
    put(out, one.order);
    put(out, static_cast<std::uint64_t>(one.since.time_since_epoch().count()));
  }
}
void put(std::string& out, const Ballot& ballot) {
  put(out, ballot.round);
  put(out, ballot.member);
}
template <typename T>
void put(std::string& out, const std::optional<T>& value) {
  put(out, std::uint64_t{value.has_value()});
  if (value) put(out, *value);
}
template <std::size_t n>
void put(std::string& out, const std::bitset<n>& set) {
  put(out, set.count());
  for (std::size_t i = 0; i < n; ++i) {
    if (set[i]) put(out, i);
  }
}

}  // namespace

Consensus::Consensus(const Settings& settings, ClusterConfig settings_plan, Time now)
    : settings_(settings), last_event_time_(now), plan_(std::move(settings_plan)) {
  settings_.member_count = std::clamp<std::size_t>(settings_.member_count, 1, kMaxMembers);
  plan_.epoch = 0;
  query_number_ = static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      &settings_.process_incarnation, sizeof settings_.process_incarnation, settings_.self));
  renewal_rank_ = settings_.self;
  alive_count_ = settings_.member_count;
  received_queries_.resize(settings_.member_count);
  recovered_ = !settings_.recover_after_restart;
  // A fleet that starts at one moment does not ask in step.
  next_query_at_ = Duration(static_cast<Duration::rep>(
      random_below(static_cast<std::uint64_t>(settings_.recovery_query_interval.count()) + 1)));
}

std::uint64_t Consensus::random_below(std::uint64_t below) {
  if (below <= 1) return 0;
  ++random_draws_;
  return XXH3_64bits_withSeed(&random_draws_, sizeof random_draws_,
                              settings_.seed ^ settings_.process_incarnation) %
         below;
}
Duration Consensus::with_jitter(Duration span) {
  const auto half = span.count() / 2;
  return Duration(span.count() - half +
                  static_cast<Duration::rep>(random_below(static_cast<std::uint64_t>(half) + 1)));
}

Consensus::Elapsed Consensus::elapsed_at(Time now) const {
  return elapsed_ + std::max(Duration(0), now - last_event_time_);
}

void Consensus::advance_clock(Time now) {
  if (now < last_event_time_) {
    // How long it really was nobody knows: what counts on a span is over.
    lease_expires_at_ = quorum_expires_at_ = elapsed_;
    received_queries_.assign(settings_.member_count, {});
    if (pending_query_ && pending_query_->renews_lease) pending_query_.reset();
  }
  elapsed_ = elapsed_at(now);
  last_event_time_ = now;
}

bool Consensus::lease_holds(Time now) const {
  return now >= last_event_time_ && elapsed_at(now) < lease_expires_at_;
}
bool Consensus::has_quorum(Time now) const {
  return now >= last_event_time_ && elapsed_at(now) < quorum_expires_at_;
}

void Consensus::broadcast(const MessageBody& body, std::vector<OutgoingMessage>& out) const {
  out.reserve(out.size() + settings_.member_count);
  for (std::size_t i = 0; i < settings_.member_count; ++i) {
    if (i != settings_.self) out.push_back({static_cast<MemberId>(i), body});
  }
}

std::vector<OutgoingMessage> Consensus::receive(Time now, MemberId from, Incarnation incarnation,
                                                const MessageBody& body) {
  std::vector<OutgoingMessage> out;
  advance_clock(now);
  run_timers(out);  // first what has run out: a process that was stopped finds old messages
  if (from >= settings_.member_count || from == settings_.self) return out;
  sender_incarnation_ = incarnation;
  std::visit(
      [&](const auto& message) {
        using T = std::decay_t<decltype(message)>;
        if constexpr (!std::is_same_v<T, Ping> && !std::is_same_v<T, PingRequest> &&
                      !std::is_same_v<T, Ack>) {
          on(from, message, out);
        }
      },
      body);
  return out;
}

std::vector<OutgoingMessage> Consensus::on_timer(Time now) {
  std::vector<OutgoingMessage> out;
  advance_clock(now);
  run_timers(out);
  return out;
}

void Consensus::run_timers(std::vector<OutgoingMessage>& out) {
  if (!lease_expiry_counted_ && elapsed_ >= lease_expires_at_) {
    ++metrics_.leases_expired;
    lease_expiry_counted_ = true;
  }
  if (pending_query_ && pending_query_->renews_lease &&
      elapsed_ >= pending_query_->sent_at + settings_.query_timeout)
    finish_query();
  if (round_ && elapsed_ >= round_->deadline) finish_proposal(false);
  if ((requested_plan_ || closing_) && elapsed_ >= request_deadline_) {
    if (round_) finish_proposal(false);
    if (requested_plan_) proposal_state_ = ProposalState::kNoMajority;
    requested_plan_.reset();
    closing_ = false;
  }
  if (quorum_lost_at_ && elapsed_ >= *quorum_lost_at_ + settings_.bootstrap_delay) {
    ++metrics_.bootstraps;
    start_voting(plan_.epoch);
  }
  if (retired_) return;
  if (!is_voting()) {
    if (elapsed_ >= next_query_at_) send_query(false, out);
  } else {
    if ((requested_plan_ || closing_) && !round_ && elapsed_ >= retry_at_) start_proposal(out);
    if (!pending_query_ && elapsed_ >= next_renewal_at()) send_query(true, out);
  }
}

Time Consensus::next_due() const {
  Elapsed at = kNever;
  const auto when = [&](bool it_is, Elapsed then) {
    if (it_is) at = std::min(at, then);
  };
  when(!lease_expiry_counted_, lease_expires_at_);
  if (pending_query_) when(pending_query_->renews_lease, pending_query_->sent_at + settings_.query_timeout);
  if (round_) when(true, round_->deadline);
  when(requested_plan_ || closing_, request_deadline_);
  if (quorum_lost_at_) when(true, *quorum_lost_at_ + settings_.bootstrap_delay);
  if (!retired_) {
    when(!is_voting(), next_query_at_);
    when(is_voting() && (requested_plan_ || closing_) && !round_, retry_at_);
    when(is_voting() && !pending_query_, next_renewal_at());
  }
  return last_event_time_ + std::max(Duration(0), at - elapsed_);
}

void Consensus::set_alive_members(const std::vector<MemberId>& alive) {
  renewal_rank_ = 0;
  alive_count_ = 1;
  for (const auto member : alive) {
    if (member == settings_.self || member >= settings_.member_count) continue;
    ++alive_count_;
    if (member < settings_.self) ++renewal_rank_;
  }
}

// ---- proposing --------------------------------------------------------------------------------------------

ProposeResult Consensus::propose(Time now, const ClusterConfig& next_plan,
                                 std::vector<OutgoingMessage>& out) {
  advance_clock(now);
  run_timers(out);
  if (!is_voting()) return ProposeResult::kNotVoting;
  if (requested_plan_) return ProposeResult::kBusy;
  if (next_plan.epoch != next_epoch()) return ProposeResult::kWrongEpoch;
  if (!is_within_limits(next_plan)) return ProposeResult::kTooLarge;
  requested_plan_ = next_plan;
  request_deadline_ = elapsed_ + settings_.request_timeout;
  proposal_state_ = ProposalState::kInProgress;
  retry_at_ = std::max(retry_at_, learned_at_ + settings_.min_epoch_interval);
  run_timers(out);
  return ProposeResult::kStarted;
}

void Consensus::start_proposal(std::vector<OutgoingMessage>& out) {
  if (highest_round_ >= kMaxRound) {  // no honest fleet gets there
    retry_at_ = elapsed_ + settings_.max_backoff;
    return;
  }
  ++metrics_.proposals_started;
  ProposalRound round;
  round.ballot = {++highest_round_, settings_.self};
  round.deadline = elapsed_ + settings_.proposal_timeout;
  round_ = std::move(round);
  // Its own vote comes first: so no later life of this member uses this ballot.
  promised_ballot_ = round_->ballot;
  highest_voted_epoch_ = next_epoch();
  broadcast(Prepare{next_epoch(), round_->ballot}, out);
  record_promise(settings_.self, accepted_ballot_, accepted_plan_, out);
}

void Consensus::finish_proposal(bool won) {
  ++(won ? metrics_.proposals_succeeded : metrics_.proposals_failed);
  round_.reset();
  if (won) return;
  const auto most = settings_.max_backoff;
  auto pause = settings_.initial_backoff;
  for (int i = 0; i < failed_rounds_ && pause < most; ++i) pause *= 2;
  if (pause < most) ++failed_rounds_;
  retry_at_ = elapsed_ + with_jitter(std::min(pause, most));
}

// Votes for another's ballot: it can't for its own, lower one any more, and leaves the other the time it
// needs.
void Consensus::yield_to_higher_ballot() {
  if (round_) finish_proposal(false);
  if (requested_plan_ || closing_)
    retry_at_ = std::max(retry_at_, elapsed_ + with_jitter(settings_.proposal_timeout));
}

void Consensus::record_promise(MemberId from, const std::optional<Ballot>& best,
                               const std::optional<ClusterConfig>& plan, std::vector<OutgoingMessage>& out) {
  round_->granted.set(from);
  if (best && plan && (!round_->highest_accepted_ballot || *round_->highest_accepted_ballot < *best)) {
    round_->highest_accepted_ballot = best;
    round_->highest_accepted_plan = plan;
  }
  if (round_->granted.count() < majority()) return;
  round_->accepting = true;
  round_->granted.reset();
  round_->rejected.reset();
  if (round_->highest_accepted_plan) {
    round_->value = *round_->highest_accepted_plan;
  } else if (requested_plan_) {
    round_->value = *requested_plan_;
  } else {
    round_->value = plan_;  // closes the instance with the same plan
    round_->value.epoch = next_epoch();
  }
  broadcast(Accept{round_->ballot, round_->value}, out);
  accepted_ballot_ = round_->ballot;
  accepted_plan_ = round_->value;
  record_acceptance(settings_.self, out);
}

void Consensus::record_acceptance(MemberId from, std::vector<OutgoingMessage>& out) {
  round_->granted.set(from);
  if (round_->granted.count() < majority()) return;
  const ClusterConfig plan = round_->value;
  finish_proposal(true);
  ++metrics_.chosen;
  learn_plan(plan);
  broadcast(Chosen{plan}, out);
}

void Consensus::learn_plan(const ClusterConfig& plan) {
  if (round_) finish_proposal(false);
  const bool voted_before = is_voting();
  ++metrics_.plans_learned;
  plan_ = plan;
  learned_at_ = elapsed_;
  promised_ballot_.reset();
  accepted_ballot_.reset();
  accepted_plan_.reset();
  highest_round_ = 0;
  failed_rounds_ = 0;
  retry_at_ = elapsed_ + settings_.min_epoch_interval;
  closing_ = false;
  instance_open_since_.reset();
  if (requested_plan_) {
    proposal_state_ = *requested_plan_ == plan_ ? ProposalState::kChosen : ProposalState::kSuperseded;
    requested_plan_.reset();
  }
  // What others said of the epoch before is of no use. A lease stays: it says that a majority held no newer
  // plan than the one known here, which is all the truer now.
  previous_non_voting_.clear();
  current_non_voting_.clear();
  quorum_lost_at_.reset();
  if (pending_query_ && pending_query_->renews_lease) {
    pending_query_.reset();
    renewal_base_ = elapsed_ - static_cast<int>(renewal_rank_) * settings_.takeover_delay;
  }
  if (!voted_before && is_voting()) on_voting_resumed();
}

// ---- messages of rounds -----------------------------------------------------------------------------------

void Consensus::on(MemberId from, const Prepare& message, std::vector<OutgoingMessage>& out) {
  if (message.ballot.member != from || message.ballot.round > kMaxRound) return;
  if (message.epoch <= plan_.epoch) return out.push_back({from, Chosen{plan_}});
  if (message.epoch > next_epoch()) return request_newer_plan(from, out);
  if (!may_vote(message.epoch)) {
    ++metrics_.votes_withheld;
    return;
  }
  highest_round_ = std::max(highest_round_, message.ballot.round);
  if (promised_ballot_ && message.ballot < *promised_ballot_)
    return out.push_back({from, Nack{message.epoch, *promised_ballot_}});
  yield_to_higher_ballot();
  promised_ballot_ = message.ballot;
  highest_voted_epoch_ = message.epoch;
  out.push_back({from, Promise{message.epoch, message.ballot, accepted_ballot_, accepted_plan_}});
}

void Consensus::on(MemberId from, const Accept& message, std::vector<OutgoingMessage>& out) {
  const auto epoch = message.plan.epoch;
  if (message.ballot.member != from || message.ballot.round > kMaxRound || !is_within_limits(message.plan))
    return;
  if (epoch <= plan_.epoch) return out.push_back({from, Chosen{plan_}});
  if (epoch > next_epoch()) return request_newer_plan(from, out);
  if (!may_vote(epoch)) {
    ++metrics_.votes_withheld;
    return;
  }
  highest_round_ = std::max(highest_round_, message.ballot.round);
  if (promised_ballot_ && message.ballot < *promised_ballot_)
    return out.push_back({from, Nack{epoch, *promised_ballot_}});
  yield_to_higher_ballot();
  promised_ballot_ = accepted_ballot_ = message.ballot;
  accepted_plan_ = message.plan;
  highest_voted_epoch_ = epoch;
  out.push_back({from, Accepted{epoch, message.ballot}});
}

void Consensus::on(MemberId from, const Promise& message, std::vector<OutgoingMessage>& out) {
  if (!round_ || round_->accepting || message.epoch != next_epoch() || message.ballot != round_->ballot)
    return;
  if (message.plan && (message.plan->epoch != next_epoch() || !is_within_limits(*message.plan))) return;
  record_promise(from, message.accepted, message.plan, out);
}

void Consensus::on(MemberId from, const Accepted& message, std::vector<OutgoingMessage>& out) {
  if (!round_ || !round_->accepting || message.epoch != next_epoch() || message.ballot != round_->ballot)
    return;
  record_acceptance(from, out);
}

void Consensus::on(MemberId from, const Nack& message, std::vector<OutgoingMessage>&) {
  if (!round_ || message.epoch != next_epoch() || message.promised.round > kMaxRound) return;
  if (message.promised < round_->ballot) return;  // of an earlier round
  highest_round_ = std::max(highest_round_, message.promised.round);
  if (!round_->rejected[from]) ++metrics_.nacks_received;
  round_->rejected.set(from);
  if (settings_.member_count - round_->rejected.count() < majority()) finish_proposal(false);
}

void Consensus::on(MemberId, const Chosen& message, std::vector<OutgoingMessage>&) {
  if (!is_within_limits(message.plan)) return;
  if (message.plan.epoch > plan_.epoch) {
    learn_plan(message.plan);
  } else if (message.plan.epoch == plan_.epoch && message.plan != plan_ && plan_.epoch != 0) {
    ++metrics_.conflicting_plans;
  }
}

// ---- asking -----------------------------------------------------------------------------------------------

void Consensus::send_query(bool renews, std::vector<OutgoingMessage>& out) {
  if (++query_number_ == 0) ++query_number_;
  pending_query_ = PendingQuery{};
  pending_query_->number = query_number_;
  pending_query_->sent_at = elapsed_;
  pending_query_->renews_lease = renews;
  broadcast(RecoveryQuery{query_number_, plan_.epoch}, out);
  if (!renews) {
    previous_non_voting_ = std::move(current_non_voting_);
    current_non_voting_.assign(settings_.member_count, {});
    auto pause = settings_.recovery_query_interval;
    for (int i = 0; i < queries_sent_ && pause < settings_.max_recovery_query_interval; ++i) pause *= 2;
    if (pause < settings_.max_recovery_query_interval) ++queries_sent_;
    next_query_at_ = elapsed_ + with_jitter(std::min(pause, settings_.max_recovery_query_interval));
  }
  evaluate_replies(out);
}

// Who sees by a message that others have gone on. A number of 0 asks for no count.
void Consensus::request_newer_plan(MemberId from, std::vector<OutgoingMessage>& out) {
  if (elapsed_ < next_catch_up_at_) return;
  next_catch_up_at_ = elapsed_ + kCatchUpInterval;
  out.push_back({from, RecoveryQuery{0, plan_.epoch}});
}

void Consensus::on(MemberId from, const RecoveryQuery& message, std::vector<OutgoingMessage>& out) {
  if (message.number != 0) received_queries_[from] = {message.number, elapsed_};
  if (message.epoch < plan_.epoch) out.push_back({from, Chosen{plan_}});
  out.push_back({from, RecoveryReply{message.number, plan_.epoch, is_voting(), highest_voted_epoch()}});
  if (message.epoch > plan_.epoch) request_newer_plan(from, out);
}

void Consensus::on(MemberId from, const RecoveryReply& message, std::vector<OutgoingMessage>& out) {
  if (!pending_query_ || message.number != pending_query_->number) return;
  auto& question = *pending_query_;
  const bool same_epoch = message.epoch == plan_.epoch;
  if (question.renews_lease) {
    if (elapsed_ >= question.sent_at + settings_.query_timeout) return;
    if (same_epoch && message.voted > plan_.epoch) question.instance_open = true;
    if (same_epoch && message.votes) question.agreeing.set(from);
    const bool again = question.quorum_reached && !question.replied[from];
    question.replied.set(from);
    if (again) {
      out.push_back({from, Lease{plan_.epoch, question.sent_at + settings_.lease_duration - elapsed_,
                                 question.number}});
    }
  } else {
    question.replied.set(from);
    if (message.votes) {
      voting_repliers_.set(from);
      highest_reported_epoch_ = std::max(highest_reported_epoch_, message.voted);
    } else if (same_epoch && from < current_non_voting_.size()) {
      current_non_voting_[from] = {true, sender_incarnation_};
    }
  }
  evaluate_replies(out);
}

void Consensus::evaluate_replies(std::vector<OutgoingMessage>& out) {
  auto& question = *pending_query_;
  if (question.renews_lease) {
    if (question.quorum_reached || question.agreeing.count() + 1 < majority()) return;
    question.quorum_reached = true;
    extend_lease(question.sent_at + settings_.lease_duration);
    // To those alone that have answered in time: then they were asked not long ago by their own clocks too.
    const auto left = question.sent_at + settings_.lease_duration - elapsed_;
    for (std::size_t i = 0; i < settings_.member_count; ++i) {
      if (question.replied[i])
        out.push_back({static_cast<MemberId>(i), Lease{plan_.epoch, left, question.number}});
    }
    return;
  }
  detect_quorum_loss();
  if (!recovered_ && !quorum_lost_at_ && voting_repliers_.count() >= recovery_quorum()) {
    start_voting(std::max(highest_reported_epoch_, plan_.epoch) + 1);
  }
}

// Do so many not vote that the others are no majority, and did so at one moment for certain?
void Consensus::detect_quorum_loss() {
  if (quorum_lost_at_ || previous_non_voting_.empty() || pending_query_->replied.count() + 1 < majority())
    return;
  std::size_t silent = 1;  // itself
  for (std::size_t i = 0; i < current_non_voting_.size(); ++i) {
    if (current_non_voting_[i].received && previous_non_voting_[i].received &&
        current_non_voting_[i].incarnation == previous_non_voting_[i].incarnation)
      ++silent;
  }
  if (silent >= recovery_quorum()) quorum_lost_at_ = elapsed_;
}

void Consensus::start_voting(std::uint32_t floor) {
  recovered_ = true;
  vote_floor_ = floor;
  quorum_lost_at_.reset();
  if (is_voting()) {
    on_voting_resumed();
  } else {
    next_query_at_ = elapsed_ + with_jitter(settings_.max_recovery_query_interval);
  }
}

void Consensus::on_voting_resumed() {
  pending_query_.reset();
  previous_non_voting_.clear();
  current_non_voting_.clear();
  quorum_lost_at_.reset();
  renewal_base_ = elapsed_;
}

// ---- the lease --------------------------------------------------------------------------------------------

void Consensus::extend_lease(Elapsed until) {
  lease_expires_at_ = std::max(lease_expires_at_, until);
  quorum_expires_at_ = std::max(quorum_expires_at_, until);
  lease_expiry_counted_ = false;
  ++metrics_.leases_renewed;
  renewal_base_ = elapsed_ + settings_.lease_renewal_interval;
}

void Consensus::finish_query() {
  const PendingQuery question = *pending_query_;
  pending_query_.reset();
  if (!question.quorum_reached) {
    // Turns go round: in a minority too, one member asks a pause, whatever its size.
    const auto round = static_cast<int>(alive_count_) * settings_.takeover_delay;
    renewal_base_ = question.sent_at + std::max(settings_.lease_renewal_interval, round) -
                    static_cast<int>(renewal_rank_) * settings_.takeover_delay;
    return;
  }
  if (!question.instance_open && highest_voted_epoch_ <= plan_.epoch) {
    instance_open_since_.reset();
  } else if (!instance_open_since_) {
    instance_open_since_ = question.sent_at;
  } else if (elapsed_ - *instance_open_since_ >= settings_.instance_close_delay && !requested_plan_ &&
             !closing_) {
    closing_ = true;
    ++metrics_.instances_closed;
    request_deadline_ = elapsed_ + settings_.request_timeout;
    retry_at_ = std::max(retry_at_, learned_at_ + settings_.min_epoch_interval);
  }
}

void Consensus::on(MemberId from, const Lease& message, std::vector<OutgoingMessage>& out) {
  const auto& asked = received_queries_[from];
  if (message.number == 0 || asked.number != message.number) return;
  // Bounded by the question too, so that a lease that comes late is no longer than one that did not.
  const auto until = std::min(elapsed_ + message.left, asked.received_at + settings_.lease_duration);
  if (until <= elapsed_) return;
  if (message.epoch > plan_.epoch) {
    quorum_expires_at_ = std::max(quorum_expires_at_, until);
    renewal_base_ = elapsed_ + settings_.lease_renewal_interval;
    return request_newer_plan(from, out);
  }
  extend_lease(until);
}

// ---- for the search of all states -------------------------------------------------------------------------

std::string Consensus::encode(Duration far) const {
  std::string out;
  const auto span = [&](Duration it) {
    put(out, static_cast<std::uint64_t>(std::clamp(it, Duration(0), far).count()));
  };
  const auto left = [&](Elapsed then) { span(then - elapsed_); };
  const auto gone = [&](Elapsed then, Duration most) { span(std::min(most, elapsed_ - then)); };
  put(out, settings_.self);
  put(out, settings_.process_incarnation);
  put(out, random_draws_);
  put(out, std::uint64_t{retired_});
  put(out, plan_);
  put(out, std::uint64_t{recovered_});
  put(out, vote_floor_);
  put(out, highest_voted_epoch_);
  put(out, promised_ballot_);
  put(out, accepted_ballot_);
  put(out, accepted_plan_);
  put(out, requested_plan_);
  put(out, std::uint64_t{closing_});
  if (requested_plan_ || closing_) left(request_deadline_);
  put(out, static_cast<std::uint64_t>(proposal_state_));
  put(out, std::uint64_t{round_.has_value()});
  if (round_) {
    put(out, round_->ballot);
    put(out, std::uint64_t{round_->accepting});
    if (round_->accepting) {
      put(out, round_->value);
    } else {
      put(out, round_->highest_accepted_ballot);
      put(out, round_->highest_accepted_plan);
    }
    put(out, round_->granted);
    put(out, round_->rejected);
    left(round_->deadline);
  }
  put(out, highest_round_);
  put(out, static_cast<std::uint64_t>(failed_rounds_));
  left(retry_at_);
  left(learned_at_ + settings_.min_epoch_interval);
  put(out, query_number_);
  put(out, std::uint64_t{pending_query_.has_value()});
  if (pending_query_) {
    put(out, pending_query_->number);
    gone(pending_query_->sent_at, settings_.query_timeout);
    put(out, pending_query_->renews_lease * 4U + pending_query_->quorum_reached * 2U +
                 pending_query_->instance_open);
    put(out, pending_query_->agreeing);
    put(out, pending_query_->replied);
  }
  if (!is_voting()) {
    left(next_query_at_);
    put(out, static_cast<std::uint64_t>(queries_sent_));
    put(out, voting_repliers_);
    put(out, highest_reported_epoch_);
    for (const auto* answers : {&previous_non_voting_, &current_non_voting_}) {
      put(out, answers->size());
      for (const auto& one : *answers) {
        put(out, std::uint64_t{one.received});
        put(out, one.incarnation);
      }
    }
    put(out, std::uint64_t{quorum_lost_at_.has_value()});
    if (quorum_lost_at_) left(*quorum_lost_at_ + settings_.bootstrap_delay);
  }
  for (const auto& asked : received_queries_) {
    const bool counts = asked.number != 0 && elapsed_ - asked.received_at < settings_.lease_duration;
    put(out, counts ? asked.number : 0);
    if (counts) gone(asked.received_at, settings_.lease_duration);
  }
  left(next_catch_up_at_);
  put(out, renewal_rank_);
  put(out, alive_count_);
  left(next_renewal_at());
  left(lease_expires_at_);
  left(quorum_expires_at_);
  put(out, std::uint64_t{lease_expiry_counted_});
  put(out, std::uint64_t{instance_open_since_.has_value()});
  if (instance_open_since_) gone(*instance_open_since_, settings_.instance_close_delay);
  return out;
}

}  // namespace rookproxy::cluster
