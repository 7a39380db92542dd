// Consensus on the cluster's plan: a replicated register that only a majority of the configured members can
// change. Single-decree Paxos with one instance per epoch (Lamport, "Paxos Made Simple", 2001). Only members
// that know the plan of epoch n propose and vote in epoch n + 1.
//
// Nothing is stored on disk. docs/consensus-proof.md shows why it is safe that a restarted process does not
// know its earlier votes, and what is lost when a majority restarts at once. docs/fleet-decisions.md has the
// state table and measurements.
//
// A member must never have two voting processes at a time: a process calls retire() before its successor
// starts.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/acceptor.h"
#include "cluster/cluster_config.h"
#include "cluster/consensus_context.h"
#include "cluster/consensus_settings.h"
#include "cluster/lease_renewal.h"
#include "cluster/messages.h"
#include "cluster/monotonic_clock.h"
#include "cluster/plan_lease.h"
#include "cluster/proposer.h"
#include "cluster/vote_recovery.h"

namespace rookproxy::cluster {

// The result of a call of Consensus::propose. proposal_state() reports the outcome of a started proposal.
enum class ProposeResult : std::uint8_t {
  kStarted = 0,
  kBusy = 1,        // Another proposal of this member is in progress.
  kWrongEpoch = 2,  // The epoch is not the one after the known plan's.
  kNotVoting = 3,   // The member has not recovered yet, or has retired; another member has to propose.
  kTooLarge = 4     // The plan has more entries than allowed.
};

// The result of Consensus::propose, and the messages to send whatever the result.
struct ProposeOutcome {
  ProposeResult result = ProposeResult::kStarted;
  std::vector<OutgoingMessage> messages;
};

// One member of the cluster. Performs no I/O: the caller passes in messages and the time, and sends the
// messages that are returned. Not thread-safe.
class Consensus {
 public:
  // The member starts with `initial_plan` as epoch 0, and sends nothing before the first on_timer().
  Consensus(const ConsensusSettings& settings, ClusterConfig initial_plan, Time now);

  // Handles a message. `incarnation` is the sender's, as authenticated by the transport. A message that
  // Membership handles only advances the clock.
  [[nodiscard]] std::vector<OutgoingMessage> receive(Time now, MemberId from, Incarnation incarnation,
                                                     const MessageBody& body);
  // Runs the timers that have expired. To be called at next_due() or earlier.
  [[nodiscard]] std::vector<OutgoingMessage> on_timer(Time now);
  [[nodiscard]] Time next_due() const;

  // Proposes a plan. Its epoch must be the one after the known plan's.
  [[nodiscard]] ProposeOutcome propose(Time now, const ClusterConfig& next_plan);
  [[nodiscard]] ProposalState proposal_state() const { return proposer_.state(); }

  // Sets the members that membership considers alive; this member may be omitted. Determines which member
  // renews leases.
  void set_alive_members(const std::vector<MemberId>& alive) { renewal_.set_alive(alive, settings_); }
  // The member never votes or proposes again in this process: its successor takes over.
  void retire() { acceptor_.retire(); }

  // The last plan learned. Without a quorum it may be outdated.
  [[nodiscard]] const ClusterConfig& plan() const { return plan_; }
  [[nodiscard]] std::uint32_t epoch() const { return plan_.epoch; }
  // Whether all parts of the plan may be applied, including spill and shifted affinity. Without the lease,
  // those fall back to the settings, and only the conservative parts (returning zones, retirements) stay in
  // force. The lease ends if the clock goes back.
  [[nodiscard]] bool lease_holds(Time now) const;
  // Whether a majority has responded within the lease duration, possibly with a plan of another epoch.
  [[nodiscard]] bool has_quorum(Time now) const;
  // Whether this member votes in the epoch after the known one.
  [[nodiscard]] bool is_voting() const { return acceptor_.is_voting(plan_.epoch); }
  // The votes of this member.
  [[nodiscard]] const Acceptor& acceptor() const { return acceptor_; }
  [[nodiscard]] const ConsensusMetrics& metrics() const { return metrics_; }
  [[nodiscard]] Time last_event_time() const { return clock_.last_event_time(); }

 private:
  friend class ConsensusStateEncoder;

  [[nodiscard]] std::uint32_t next_epoch() const { return plan_.epoch + 1; }
  ConsensusContext make_context(Outbox& outbox, Incarnation sender_incarnation = 0);
  void advance_clock(Time now);
  void run_timers(const ConsensusContext& context);

  void start_proposal(const ConsensusContext& context);
  void record_promise(MemberId from, const std::optional<Ballot>& accepted,
                      const std::optional<ClusterConfig>& accepted_plan, const ConsensusContext& context);
  void record_acceptance(MemberId from, const ConsensusContext& context);
  bool can_vote_for(MemberId from, std::uint32_t epoch, const Ballot& ballot,
                    const ConsensusContext& context);
  void learn_plan(const ClusterConfig& plan, const ConsensusContext& context);
  void request_newer_plan(MemberId from, const ConsensusContext& context);
  [[nodiscard]] Elapsed earliest_next_proposal() const { return learned_at_ + settings_.min_epoch_interval; }

  std::uint32_t next_query_number();
  void send_renewal_query(const ConsensusContext& context);
  void finish_renewal_query(const ConsensusContext& context);
  void try_grant_lease(const ConsensusContext& context);
  void extend_lease(Elapsed until, const ConsensusContext& context);
  void send_recovery_query(const ConsensusContext& context);
  void evaluate_recovery(const ConsensusContext& context);
  void start_voting(std::uint32_t vote_floor, const ConsensusContext& context);
  void on_voting_resumed(Elapsed now);

  void handle(MemberId from, const Prepare& message, const ConsensusContext& context);
  void handle(MemberId from, const Promise& message, const ConsensusContext& context);
  void handle(MemberId from, const Nack& message, const ConsensusContext& context);
  void handle(MemberId from, const Accept& message, const ConsensusContext& context);
  void handle(MemberId from, const Accepted& message, const ConsensusContext& context);
  void handle(MemberId from, const Chosen& message, const ConsensusContext& context);
  void handle(MemberId from, const RecoveryQuery& message, const ConsensusContext& context);
  void handle(MemberId from, const RecoveryReply& message, const ConsensusContext& context);
  void handle(MemberId from, const Lease& message, const ConsensusContext& context);

  ConsensusSettings settings_;
  MonotonicClock clock_;
  JitterSource random_;
  ConsensusMetrics metrics_;

  ClusterConfig plan_;
  Elapsed learned_at_{};
  Elapsed next_catch_up_at_{};  // The earliest time of the next query for a newer plan.

  Acceptor acceptor_;
  Proposer proposer_;
  PlanLease lease_;
  LeaseRenewal renewal_;
  VoteRecovery recovery_;
  std::uint32_t query_number_;  // The number of the last query, for renewal or for recovery.
};

}  // namespace rookproxy::cluster
