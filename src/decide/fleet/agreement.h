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

#include "decide/fleet/types.h"

namespace rookproxy::decide::fleet {

enum class Proposal : std::uint8_t {
  kNone = 0,        // nothing was proposed yet
  kOpen = 1,        // being tried
  kChosen = 2,      // the plan of its epoch, for good
  kSuperseded = 3,  // another plan is known now, of its epoch or a later one
  kNoMajority = 4   // given up; it may yet turn out to be chosen
};

enum class ProposeAnswer : std::uint8_t {
  kTaken = 0,
  kBusy = 1,        // an own proposal is open: wait for its end
  kWrongEpoch = 2,  // not the one after the plan known here
  kNotVoting = 3,   // started lately: let another propose
  kTooLarge = 4     // more entries than a plan holds
};

struct AgreementFigures {
  std::uint64_t rounds_begun = 0, rounds_won = 0, rounds_lost = 0;
  std::uint64_t refusals = 0;        // heard by own rounds
  std::uint64_t chosen = 0;          // own rounds whose plan was decided, also where it was another's
  std::uint64_t epochs = 0;          // times that the plan known here was replaced
  std::uint64_t leases_renewed = 0;  // here, by whomever
  std::uint64_t leases_run_out = 0;
  std::uint64_t votes_withheld = 0;  // asked for one and gave none, having started lately
  std::uint64_t closed = 0;          // instances that it set out to close, since they stayed open
  std::uint64_t founded = 0;         // times that it began to vote because too many others didn't
  std::uint64_t contradictions = 0;  // another plan of the epoch known here: a majority had restarted
};

class Agreement {
 public:
  struct Settings {
    MemberId self = 0;
    std::size_t members = 1;            // configured, 1 to kMostMembers, this one too
    Incarnation life = 0;               // of this process: no other of this member has the same
    std::uint64_t seed = 0;             // of pauses
    Duration round_span{500'000};       // a round without a majority by then is given up
    Duration backoff{50'000};           // mean pause before the next round about; doubled each time, up to
    Duration most_backoff{800'000};     //   this; drawn from half to the whole
    Duration propose_span{10'000'000};  // a proposal without an end by then is given up
    Duration epoch_span{500'000};       // least time from learning a plan to a round for the next
    Duration ask_every{500'000};        // while it does not vote; doubled each time, up to
    Duration most_ask_every{4'000'000};
    Duration ask_span{500'000};     // answers that come later renew no lease
    Duration cold_wait{2'000'000};  // before it votes again though too many others don't
    Duration renew_every{1'000'000};
    Duration takeover_pause{200'000};  // for each member alive before it that fails to renew
    Duration lease_span{4'000'000};    // over renew_every and ask_span, best several times
    Duration close_after{1'000'000};   // an instance open this long is closed
    bool wait_after_restart = true;    // false: for tests alone, a member that forgets and votes on
  };

  // Knows `settings_plan` as epoch 0. Nothing is sent before the first on_time.
  Agreement(const Settings& settings, FleetPlan settings_plan, Time now);

  // `incarnation`: of the sender, as the carrier knows it. Messages that are none of agreement's change
  // nothing.
  std::vector<Outgoing> receive(Time now, MemberId from, Incarnation incarnation, const Body& body);
  std::vector<Outgoing> on_time(Time now);
  // Call on_time then, or before.
  Time due() const;
  // `next.epoch` is the known one's plus 1. What comes of it is told by `proposal`.
  ProposeAnswer propose(Time now, const FleetPlan& next, std::vector<Outgoing>& out);
  Proposal proposal() const { return proposal_; }
  // Members that seem to be alive, by membership, this one among them or not: who of them renews.
  void set_hint(const std::vector<MemberId>& alive);
  // Votes and proposes no more, for good: a successor of this process takes its place.
  void retire() { retired_ = true; }

  // The last plan known; stays, whatever happens. In a minority it may be an old one.
  const FleetPlan& plan() const { return plan_; }
  std::uint32_t epoch() const { return plan_.epoch; }
  // May bold parts (spill, shifted affinity) be acted on? False: fall back to the settings for these; careful
  // parts (zones that return, retirements) stay. Times that go back end the lease, at the next event for
  // good.
  bool lease_holds(Time now) const;
  // Has a majority been heard of within a lease's span, though it may hold another epoch?
  bool in_majority(Time now) const;
  // Would it vote in the epoch after the known one?
  bool votes() const { return knows_ && floor_ <= plan_.epoch && !retired_; }
  // The last epoch in which it may have voted, before its start too; for sure only where it knows.
  std::uint32_t voted() const { return std::max(voted_, floor_); }
  // In this life, that is.
  std::uint32_t voted_in_life() const { return voted_; }
  // In the epoch after the known one.
  const std::optional<Ballot>& accepted() const { return accepted_; }
  const std::optional<FleetPlan>& accepted_plan() const { return accepted_plan_; }
  const AgreementFigures& figures() const { return figures_; }
  Time last_time() const { return seen_; }
  // All that decides what it does from here on; times as spans from now, those of `far` or more alike. For
  // the search of all states.
  std::string encode(Duration far = Duration::max()) const;

 private:
  using Members = std::bitset<kMostMembers>;
  // Time since the start, which never goes back.
  using Since = Duration;
  struct Round {
    Ballot ballot;
    bool accepting = false;
    FleetPlan value;  // of the accepting
    std::optional<Ballot> best;
    std::optional<FleetPlan> best_plan;  // accepted under `best`
    Members yes, no;
    Since until{};
  };
  struct Question {
    std::uint32_t number = 0;
    Since at{};
    bool renews = false, won = false, open = false;  // open: somebody's next instance is
    Members agree, told;
  };
  struct Silent {  // an answer `votes = false`
    bool is = false;
    Incarnation incarnation = 0;
  };
  struct Asked {
    std::uint32_t number = 0;
    Since at{};
  };

  std::size_t majority() const { return settings_.members / 2 + 1; }
  std::size_t meets_any_majority() const { return settings_.members - majority() + 1; }
  std::uint32_t next() const { return plan_.epoch + 1; }
  bool may_vote(std::uint32_t epoch) const { return votes() && epoch == next(); }
  std::uint64_t draw(std::uint64_t below);
  Duration half_to_whole(Duration span);
  Since since(Time now) const;
  void move_clock(Time now);
  void advance(std::vector<Outgoing>& out);
  void to_all(const Body& body, std::vector<Outgoing>& out) const;
  void learn(const FleetPlan& plan);
  void begin_round(std::vector<Outgoing>& out);
  void end_round(bool won);
  void give_way();
  void promised_to_us(MemberId from, const std::optional<Ballot>& best, const std::optional<FleetPlan>& plan,
                      std::vector<Outgoing>& out);
  void accepted_of_us(MemberId from, std::vector<Outgoing>& out);
  void ask(bool renews, std::vector<Outgoing>& out);
  void catch_up(MemberId from, std::vector<Outgoing>& out);
  void look_for_loss();
  void begin_to_vote(std::uint32_t floor);
  void look_at_answers(std::vector<Outgoing>& out);
  void end_question();
  void renewed(Since until);
  void votes_again();
  Since renew_at() const { return renew_from_ + static_cast<int>(rank_) * settings_.takeover_pause; }

  void on(MemberId from, const Prepare& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Promise& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Refusal& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Accept& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Accepted& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Chosen& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Ask& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Tell& message, std::vector<Outgoing>& out);
  void on(MemberId from, const Lease& message, std::vector<Outgoing>& out);

  Settings settings_;
  Time seen_;
  Since now_{};
  Incarnation sender_ = 0;  // of the message in hand
  std::uint64_t draws_ = 0;
  AgreementFigures figures_;
  bool retired_ = false;

  FleetPlan plan_;
  Since learned_{};

  // As a voter. `promised_` to `accepted_plan_` are of the next epoch.
  bool knows_ = false;
  std::uint32_t floor_ = 0;  // votes in no epoch up to this
  std::uint32_t voted_ = 0;
  std::optional<Ballot> promised_, accepted_;
  std::optional<FleetPlan> accepted_plan_;

  // As a proposer.
  std::optional<FleetPlan> wanted_;
  Since wanted_until_{};
  bool closing_ = false;
  Proposal proposal_ = Proposal::kNone;
  std::optional<Round> round_;
  std::uint32_t highest_round_ = 0;  // heard of in the next epoch
  int failures_ = 0;
  Since retry_{};

  // Asking. `before_` and `silent_`: who didn't vote, by the last question and by this one.
  std::uint32_t number_;
  std::optional<Question> question_;
  Since ask_at_{};
  int asked_times_ = 0;
  Members told_voted_;
  std::uint32_t told_highest_ = 0;
  std::vector<Silent> before_, silent_;
  std::optional<Since> lost_;
  std::vector<Asked> asked_;  // of each member, its last question: a lease must answer one
  Since catch_up_{};

  // The lease.
  std::size_t rank_, alive_;
  Since renew_from_{};  // its turn comes a pause later for each one before it
  std::optional<Since> open_since_;
  Since lease_{}, majority_{};  // their ends; zero or past: none
  bool lease_counted_ = true;   // its running out is in the figures
};

}  // namespace rookproxy::decide::fleet
