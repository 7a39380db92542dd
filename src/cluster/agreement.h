// The fleet plan: one register that only a majority of the CONFIGURED dispatchers changes. Single-decree
// Paxos, an instance an epoch (Lamport, "Paxos Made Simple", 2001); epoch n + 1 is proposed, and voted in,
// only by members that know epoch n's plan. docs/fleet-decisions.md has the table of states and the model
// check's figures.
//
// No disk: why a forgotten vote does no harm
//   Paxos is safe while in each instance each member votes in at most one life (a process from start to end):
//   its other lives then are as good as an acceptor that has crashed for good. So a new life votes in no
//   instance that an earlier one may have voted in. It can't know which those were; it learns a bound, and
//   stays out of the instances up to it for ever. No time is waited for, so no datagram, however late, can
//   undo this.
//     n members, a majority is m = n/2 + 1 (whole part), and r = n - m + 1: any r members and any majority
//     meet. A new life R asks all and is told by r OTHERS that vote, each after R's start (R's numbers are of
//     its life alone), the last instance that each may have voted in. R stays out of all up to the highest of
//     these, plus 1.
//   Claim: whoever votes stays out of (or voted in this life in) every instance it ever voted in; its `voted`
//   bounds them. By induction on the time at which lives begin to vote: let e be the last instance that R's
//   earlier lives voted in. They knew then that e - 1 was decided, so a majority Q had accepted in e - 1. Q
//   without R has at least m - 1 of the n - 1 others, and r + (m - 1) = n > n - 1: so one of those that told
//   R, S, is in Q. S accepted before R's start and told after it, so by the claim for S its answer is at
//   least e - 1, and R stays out of e. Here `r` may not be less, and R itself may not be counted: Q may be R
//   and any m - 1 others. A member proposes only where it votes, and votes for its own ballot first: no
//   ballot is used by two lives. (Liskov, Cowling: "Viewstamped Replication Revisited", 2012, recovers by a
//   quorum's answers likewise; Michael et al.: "Recovering Shared Objects Without Stable Storage", 2017, on
//   what goes wrong if late votes still count.) What is left to chance: a new life's numbers start at a 32
//   bit hash of its life; an answer to an earlier life is mistaken if it comes late and they meet. And of one
//   member, two processes must never vote at a time: the one that hands over calls `retire` before its
//   successor starts to ask.
//
// Who stays out of the next instance can vote again after it. So that this comes soon, and a round whose
// proposer died ends, whoever renews the lease closes an instance that stays open: it proposes the same plan
// anew, as the next epoch (or what it finds accepted there).
//
// When fewer than a majority vote at one moment, the register is lost: what they knew may be gone. At a
// fleet's start that is so, and harmless. r members (at least; a majority must have been heard) that don't
// vote are too many. A member knows this for certain once two of its questions, the second asked after all of
// the first's answers that count, were answered `votes = false` by the same lives at its own epoch: between
// the two none of them voted. After `cold_wait` it votes again, from the instance behind the highest plan
// that it has heard of: the settings (epoch 0), or a survivor's, whose epochs so never go back. What is lost
// is the promise of one plan an epoch, for the epochs after the highest plan heard: a majority that restarts
// within the few seconds that it takes to close an instance can decide anew an epoch that others, whom it did
// not hear, have decided before.
#pragma once

#include <algorithm>
#include <bitset>
#include <optional>
#include <string>
#include <vector>

#include "cluster/types.h"

namespace rookproxy::cluster {

enum class ProposalState : std::uint8_t {
  kNone = 0,        // nothing was proposed yet
  kInProgress = 1,  // being tried
  kChosen = 2,      // the plan of its epoch, for good
  kSuperseded = 3,  // another plan is known now, of its epoch or a later one
  kNoMajority = 4   // given up; it may yet turn out to be chosen
};

enum class ProposeResult : std::uint8_t {
  kStarted = 0,
  kBusy = 1,        // an own proposal is open: wait for its end
  kWrongEpoch = 2,  // not the one after the plan known here
  kNotVoting = 3,   // started lately: let another propose
  kTooLarge = 4     // more entries than a plan holds
};

struct ConsensusMetrics {
  std::uint64_t proposals_started = 0, proposals_succeeded = 0, proposals_failed = 0;
  std::uint64_t nacks_received = 0;  // heard by own rounds
  std::uint64_t chosen = 0;          // own rounds whose plan was decided, also where it was another's
  std::uint64_t plans_learned = 0;   // times that the plan known here was replaced
  std::uint64_t leases_renewed = 0;  // here, by whomever
  std::uint64_t leases_expired = 0;
  std::uint64_t votes_withheld = 0;     // asked for one and gave none, having started lately
  std::uint64_t instances_closed = 0;   // instances that it set out to close, since they stayed open
  std::uint64_t bootstraps = 0;         // times that it began to vote because too many others didn't
  std::uint64_t conflicting_plans = 0;  // another plan of the epoch known here: a majority had restarted
};

class Consensus {
 public:
  struct Settings {
    MemberId self = 0;
    std::size_t member_count = 1;          // configured, 1 to kMostMembers, this one too
    Incarnation process_incarnation = 0;   // of this process: no other of this member has the same
    std::uint64_t seed = 0;                // of pauses
    Duration proposal_timeout{500'000};    // a round without a majority by then is given up
    Duration initial_backoff{50'000};      // mean pause before the next round about; doubled each time, up to
    Duration max_backoff{800'000};         //   this; drawn from half to the whole
    Duration request_timeout{10'000'000};  // a proposal without an end by then is given up
    Duration min_epoch_interval{500'000};  // least time from learning a plan to a round for the next
    Duration recovery_query_interval{500'000};  // while it does not vote; doubled each time, up to
    Duration max_recovery_query_interval{4'000'000};
    Duration query_timeout{500'000};      // answers that come later renew no lease
    Duration bootstrap_delay{2'000'000};  // before it votes again though too many others don't
    Duration lease_renewal_interval{1'000'000};
    Duration takeover_delay{200'000};          // for each member alive before it that fails to renew
    Duration lease_duration{4'000'000};        // over renew_every and ask_span, best several times
    Duration instance_close_delay{1'000'000};  // an instance open this long is closed
    bool recover_after_restart = true;         // false: for tests alone, a member that forgets and votes on
  };

  // Knows `settings_plan` as epoch 0. Nothing is sent before the first on_time.
  Consensus(const Settings& settings, ClusterConfig settings_plan, Time now);

  // `incarnation`: of the sender, as the carrier knows it. Messages that are none of agreement's change
  // nothing.
  std::vector<OutgoingMessage> receive(Time now, MemberId from, Incarnation incarnation,
                                       const MessageBody& body);
  std::vector<OutgoingMessage> on_timer(Time now);
  // Call on_time then, or before.
  Time next_due() const;
  // `next.epoch` is the known one's plus 1. What comes of it is told by `proposal`.
  ProposeResult propose(Time now, const ClusterConfig& next, std::vector<OutgoingMessage>& out);
  ProposalState proposal_state() const { return proposal_state_; }
  // Members that seem to be alive, by membership, this one among them or not: who of them renews.
  void set_alive_members(const std::vector<MemberId>& alive);
  // Votes and proposes no more, for good: a successor of this process takes its place.
  void retire() { retired_ = true; }

  // The last plan known; stays, whatever happens. In a minority it may be an old one.
  const ClusterConfig& plan() const { return plan_; }
  std::uint32_t epoch() const { return plan_.epoch; }
  // May bold parts (spill, shifted affinity) be acted on? False: fall back to the settings for these; careful
  // parts (zones that return, retirements) stay. Times that go back end the lease, at the next event for
  // good.
  bool lease_holds(Time now) const;
  // Has a majority been heard of within a lease's span, though it may hold another epoch?
  bool has_quorum(Time now) const;
  // Would it vote in the epoch after the known one?
  bool is_voting() const { return recovered_ && vote_floor_ <= plan_.epoch && !retired_; }
  // The last epoch in which it may have voted, before its start too; for sure only where it knows.
  std::uint32_t highest_voted_epoch() const { return std::max(highest_voted_epoch_, vote_floor_); }
  // In this life, that is.
  std::uint32_t highest_voted_epoch_of_process() const { return highest_voted_epoch_; }
  // In the epoch after the known one.
  const std::optional<Ballot>& accepted_ballot() const { return accepted_ballot_; }
  const std::optional<ClusterConfig>& accepted_plan() const { return accepted_plan_; }
  const ConsensusMetrics& metrics() const { return metrics_; }
  Time last_event_time() const { return last_event_time_; }
  // All that decides what it does from here on; times as spans from now, those of `far` or more alike. For
  // the search of all states.
  std::string encode(Duration far = Duration::max()) const;

 private:
  using MemberSet = std::bitset<kMaxMembers>;
  // Time since the start, which never goes back.
  using Elapsed = Duration;
  struct ProposalRound {
    Ballot ballot;
    bool accepting = false;
    ClusterConfig value;  // of the accepting
    std::optional<Ballot> highest_accepted_ballot;
    std::optional<ClusterConfig> highest_accepted_plan;  // accepted under `best`
    MemberSet granted, rejected;
    Elapsed deadline{};
  };
  struct PendingQuery {
    std::uint32_t number = 0;
    Elapsed sent_at{};
    bool renews_lease = false, quorum_reached = false,
         instance_open = false;  // open: somebody's next instance is
    MemberSet agreeing, replied;
  };
  struct NonVotingReply {  // an answer `votes = false`
    bool received = false;
    Incarnation incarnation = 0;
  };
  struct ReceivedQuery {
    std::uint32_t number = 0;
    Elapsed received_at{};
  };

  std::size_t majority() const { return settings_.member_count / 2 + 1; }
  std::size_t recovery_quorum() const { return settings_.member_count - majority() + 1; }
  std::uint32_t next_epoch() const { return plan_.epoch + 1; }
  bool may_vote(std::uint32_t epoch) const { return is_voting() && epoch == next_epoch(); }
  std::uint64_t random_below(std::uint64_t below);
  Duration with_jitter(Duration span);
  Elapsed elapsed_at(Time now) const;
  void advance_clock(Time now);
  void run_timers(std::vector<OutgoingMessage>& out);
  void broadcast(const MessageBody& body, std::vector<OutgoingMessage>& out) const;
  void learn_plan(const ClusterConfig& plan);
  void start_proposal(std::vector<OutgoingMessage>& out);
  void finish_proposal(bool won);
  void yield_to_higher_ballot();
  void record_promise(MemberId from, const std::optional<Ballot>& best,
                      const std::optional<ClusterConfig>& plan, std::vector<OutgoingMessage>& out);
  void record_acceptance(MemberId from, std::vector<OutgoingMessage>& out);
  void send_query(bool renews, std::vector<OutgoingMessage>& out);
  void request_newer_plan(MemberId from, std::vector<OutgoingMessage>& out);
  void detect_quorum_loss();
  void start_voting(std::uint32_t floor);
  void evaluate_replies(std::vector<OutgoingMessage>& out);
  void finish_query();
  void extend_lease(Elapsed until);
  void on_voting_resumed();
  Elapsed next_renewal_at() const {
    return renewal_base_ + static_cast<int>(renewal_rank_) * settings_.takeover_delay;
  }

  void on(MemberId from, const Prepare& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const Promise& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const Nack& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const Accept& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const Accepted& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const Chosen& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const RecoveryQuery& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const RecoveryReply& message, std::vector<OutgoingMessage>& out);
  void on(MemberId from, const Lease& message, std::vector<OutgoingMessage>& out);

  Settings settings_;
  Time last_event_time_;
  Elapsed elapsed_{};
  Incarnation sender_incarnation_ = 0;  // of the message in hand
  std::uint64_t random_draws_ = 0;
  ConsensusMetrics metrics_;
  bool retired_ = false;

  ClusterConfig plan_;
  Elapsed learned_at_{};

  // As a voter. `promised_` to `accepted_plan_` are of the next epoch.
  bool recovered_ = false;
  std::uint32_t vote_floor_ = 0;  // votes in no epoch up to this
  std::uint32_t highest_voted_epoch_ = 0;
  std::optional<Ballot> promised_ballot_, accepted_ballot_;
  std::optional<ClusterConfig> accepted_plan_;

  // As a proposer.
  std::optional<ClusterConfig> requested_plan_;
  Elapsed request_deadline_{};
  bool closing_ = false;
  ProposalState proposal_state_ = ProposalState::kNone;
  std::optional<ProposalRound> round_;
  std::uint32_t highest_round_ = 0;  // heard of in the next epoch
  int failed_rounds_ = 0;
  Elapsed retry_at_{};

  // Asking. `before_` and `silent_`: who didn't vote, by the last question and by this one.
  std::uint32_t query_number_;
  std::optional<PendingQuery> pending_query_;
  Elapsed next_query_at_{};
  int queries_sent_ = 0;
  MemberSet voting_repliers_;
  std::uint32_t highest_reported_epoch_ = 0;
  std::vector<NonVotingReply> previous_non_voting_, current_non_voting_;
  std::optional<Elapsed> quorum_lost_at_;
  std::vector<ReceivedQuery> received_queries_;  // of each member, its last question: a lease must answer one
  Elapsed next_catch_up_at_{};

  // The lease.
  std::size_t renewal_rank_, alive_count_;
  Elapsed renewal_base_{};  // its turn comes a pause later for each one before it
  std::optional<Elapsed> instance_open_since_;
  Elapsed lease_expires_at_{}, quorum_expires_at_{};  // their ends; zero or past: none
  bool lease_expiry_counted_ = true;                  // its running out is in the figures
};

}  // namespace rookproxy::cluster
