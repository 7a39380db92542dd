// The proposer of Paxos: tries to get a plan chosen, round after round.
#pragma once

#include <cstdint>
#include <optional>

#include "cluster/cluster_config.h"
#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// A ballot with a higher round is not valid.
inline constexpr std::uint32_t kMaxRound = 1'000'000'000;

// What became of the last plan that this member proposed.
enum class ProposalState : std::uint8_t {
  kNone = 0,  // nothing was proposed yet
  kInProgress = 1,
  kChosen = 2,      // the plan of its epoch, for good
  kSuperseded = 3,  // another plan is known now, of that epoch or a later one
  kNoMajority = 4   // given up; it may still turn out to be chosen
};

// Works on the instance of the epoch after the known plan's. Consensus sends its messages.
class Proposer {
 public:
  [[nodiscard]] ProposalState state() const { return state_; }
  [[nodiscard]] bool has_request() const { return requested_plan_.has_value(); }
  // Whether there is a plan to propose or an instance to close.
  [[nodiscard]] bool has_work() const { return has_request() || is_closing_; }
  // The ballot of the round under way.
  [[nodiscard]] std::optional<Ballot> ballot() const {
    return round_ ? std::optional(round_->ballot) : std::nullopt;
  }
  [[nodiscard]] bool is_preparing() const { return round_ && !round_->is_accepting; }
  [[nodiscard]] bool is_accepting() const { return round_ && round_->is_accepting; }

  // Proposes `plan` from now on, not before `earliest_start`.
  void request(const ClusterConfig& plan, Elapsed earliest_start, const ConsensusContext& context);
  // Proposes the known plan again, as the next epoch, to decide an instance that stays open.
  void close_instance(Elapsed earliest_start, const ConsensusContext& context);
  // Gives up the round and the request whose time is over.
  void expire(const ConsensusContext& context);

  // When expire() has something to do; kNever if nothing is under way.
  [[nodiscard]] Elapsed next_expiry() const;
  // When a round is to be started; kNever while one is under way or there is no work.
  [[nodiscard]] Elapsed next_start() const { return has_work() && !round_ ? retry_at_ : kNever; }

  // Phase 1. Returns the ballot to prepare, or nothing if the ballots are used up.
  [[nodiscard]] std::optional<Ballot> start_round(const ConsensusContext& context);
  // A promise of `from` for the round under way, with what it has accepted. Returns whether that makes a
  // majority; then start_accepting() follows.
  [[nodiscard]] bool record_promise(MemberId from, const std::optional<Ballot>& accepted,
                                    const std::optional<ClusterConfig>& accepted_plan, std::size_t majority);
  // Phase 2. Returns the plan to be accepted: the one accepted under the highest ballot that was reported, or
  // else the requested one, or else `known_plan` as the next epoch.
  const ClusterConfig& start_accepting(const ClusterConfig& known_plan);
  // An acceptance by `from` for the round under way. Returns the plan if that chooses it.
  [[nodiscard]] std::optional<ClusterConfig> record_acceptance(MemberId from,
                                                               const ConsensusContext& context);
  // A rejection by `from`, which has promised `promised`.
  void record_nack(MemberId from, const Ballot& promised, const ConsensusContext& context);

  // This member votes for another's higher ballot. Its own round can't win any more, and the other is given
  // the time that a round needs.
  void yield_to_higher_ballot(const ConsensusContext& context);
  // A round seen in the current instance; the next own one is higher.
  void observe_round(std::uint32_t round);
  // The instance is decided with `plan`.
  void on_plan_learned(const ClusterConfig& plan, const ConsensusContext& context);

 private:
  friend class ConsensusStateEncoder;

  // One attempt, under one ballot.
  struct Round {
    Ballot ballot;
    bool is_accepting = false;  // in phase 2
    ClusterConfig value;        // of phase 2
    std::optional<Ballot> highest_accepted_ballot;
    std::optional<ClusterConfig> highest_accepted_plan;
    MemberSet granted;  // of the current phase
    MemberSet rejected;
    Elapsed deadline{};
  };

  void start_work(Elapsed earliest_start, const ConsensusContext& context);
  void finish_round(bool is_won, const ConsensusContext& context);

  std::optional<ClusterConfig> requested_plan_;
  bool is_closing_ = false;
  Elapsed request_deadline_{};  // of the request or the closing
  ProposalState state_ = ProposalState::kNone;
  std::optional<Round> round_;
  std::uint32_t highest_round_ = 0;  // seen in the current instance
  ExponentialBackoff backoff_;
  Elapsed retry_at_{};
};

}  // namespace rookproxy::cluster
