// The proposer of Paxos: runs rounds until a plan is chosen.
#pragma once

#include <cstdint>
#include <optional>

#include "cluster/cluster_config.h"
#include "cluster/consensus_context.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// The highest valid round of a ballot.
inline constexpr std::uint32_t kMaxRound = 1'000'000'000;

// The state of the last plan that this member proposed.
enum class ProposalState : std::uint8_t {
  kNone = 0,  // Nothing was proposed yet.
  kInProgress = 1,
  kChosen = 2,      // It is the plan of its epoch.
  kSuperseded = 3,  // Another plan of that epoch, or of a later one, was learned.
  kNoMajority = 4   // The proposal timed out; the plan may still be chosen.
};

// Proposes in the instance of the epoch after the known plan's. Consensus sends its messages.
class Proposer {
 public:
  [[nodiscard]] ProposalState state() const { return state_; }
  [[nodiscard]] bool has_request() const { return requested_plan_.has_value(); }
  // Whether there is a plan to propose or an instance to close.
  [[nodiscard]] bool has_work() const { return has_request() || is_closing_; }
  // The ballot of the current round; nothing if there is none.
  [[nodiscard]] std::optional<Ballot> ballot() const {
    return round_ ? std::optional(round_->ballot) : std::nullopt;
  }
  [[nodiscard]] bool is_preparing() const { return round_ && !round_->is_accepting; }
  [[nodiscard]] bool is_accepting() const { return round_ && round_->is_accepting; }

  // Proposes `plan`, not before `earliest_start`, until it is chosen, superseded or timed out.
  void request(const ClusterConfig& plan, Elapsed earliest_start, const ConsensusContext& context);
  // Proposes the known plan as the next epoch, to decide an instance that has stayed open.
  void close_instance(Elapsed earliest_start, const ConsensusContext& context);
  // Ends the round and the request if their deadlines have passed.
  void expire(const ConsensusContext& context);

  // When expire() is due; kNever if nothing is pending.
  [[nodiscard]] Elapsed next_expiry() const;
  // When the next round is due; kNever during a round or if there is no work.
  [[nodiscard]] Elapsed next_start() const { return has_work() && !round_ ? retry_at_ : kNever; }

  // Starts phase 1. Returns the ballot to prepare, or nothing if no higher ballot is valid.
  [[nodiscard]] std::optional<Ballot> start_round(const ConsensusContext& context);
  // Records a promise of `from` for the current round, with the ballot and plan that it has accepted. Returns
  // whether a majority has promised, in which case the caller must call start_accepting().
  [[nodiscard]] bool record_promise(MemberId from, const std::optional<Ballot>& accepted,
                                    const std::optional<ClusterConfig>& accepted_plan, std::size_t majority);
  // Starts phase 2. Returns the plan to be accepted: the one accepted under the highest reported ballot, else
  // the requested one, else `known_plan` as the next epoch.
  const ClusterConfig& start_accepting(const ClusterConfig& known_plan);
  // Records an acceptance by `from` in the current round. Returns the plan if it is now chosen.
  [[nodiscard]] std::optional<ClusterConfig> record_acceptance(MemberId from,
                                                               const ConsensusContext& context);
  // Records a rejection by `from`, which has promised the ballot `promised`.
  void record_nack(MemberId from, const Ballot& promised, const ConsensusContext& context);

  // Called when this member votes for another member's higher ballot. Ends its own round, which can no longer
  // succeed, and delays the next one so that the other round can complete.
  void yield_to_higher_ballot(const ConsensusContext& context);
  // Records a round number seen in the current instance. This member's next round is higher.
  void observe_round(std::uint32_t round);
  // Called when `plan` was learned, which decides the instance.
  void on_plan_learned(const ClusterConfig& plan, const ConsensusContext& context);

 private:
  friend class ConsensusStateEncoder;

  // One attempt with one ballot.
  struct Round {
    Ballot ballot;
    bool is_accepting = false;  // Whether the round is in phase 2.
    ClusterConfig value;        // The plan to be accepted in phase 2.
    std::optional<Ballot> highest_accepted_ballot;
    std::optional<ClusterConfig> highest_accepted_plan;
    MemberSet granted;   // The members that have agreed in the current phase.
    MemberSet rejected;  // The members that have rejected in the current phase.
    Elapsed deadline{};
  };

  void start_work(Elapsed earliest_start, const ConsensusContext& context);
  void finish_round(bool is_won, const ConsensusContext& context);

  std::optional<ClusterConfig> requested_plan_;
  bool is_closing_ = false;
  Elapsed request_deadline_{};  // The deadline of the request, or of closing the instance.
  ProposalState state_ = ProposalState::kNone;
  std::optional<Round> round_;
  std::uint32_t highest_round_ = 0;  // The highest round seen in the current instance.
  ExponentialBackoff backoff_;
  Elapsed retry_at_{};
};

}  // namespace rookproxy::cluster
