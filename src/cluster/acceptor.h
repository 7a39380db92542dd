// The acceptor of Paxos: what this member has promised and accepted, and in which instances it may vote.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "cluster/cluster_config.h"
#include "cluster/messages.h"

namespace rookproxy::cluster {

// Votes in one instance at a time: that of the epoch after the known plan's. Nothing is stored on disk. A new
// process votes only in epochs above its vote floor; docs/consensus-proof.md shows why that is safe.
class Acceptor {
 public:
  // `has_recovered`: whether the member votes at once, without learning a vote floor first.
  explicit Acceptor(bool has_recovered) : has_recovered_(has_recovered) {}

  // Whether this member votes in the epoch after `known_epoch`.
  [[nodiscard]] bool is_voting(std::uint32_t known_epoch) const {
    return has_recovered_ && vote_floor_ <= known_epoch && !is_retired_;
  }
  // Whether the vote floor is known.
  [[nodiscard]] bool has_recovered() const { return has_recovered_; }
  [[nodiscard]] bool is_retired() const { return is_retired_; }
  // The last epoch in which this member may have voted, in this process or an earlier one. Reliable only if
  // the vote floor is known.
  [[nodiscard]] std::uint32_t highest_voted_epoch() const {
    return std::max(highest_voted_epoch_, vote_floor_);
  }
  // The last epoch in which this process has voted; 0 if it has not voted.
  [[nodiscard]] std::uint32_t highest_voted_epoch_of_process() const { return highest_voted_epoch_; }

  // The votes in the current instance; nothing if there are none.
  [[nodiscard]] const std::optional<Ballot>& promised_ballot() const { return promised_ballot_; }
  [[nodiscard]] const std::optional<Ballot>& accepted_ballot() const { return accepted_ballot_; }
  [[nodiscard]] const std::optional<ClusterConfig>& accepted_plan() const { return accepted_plan_; }

  // From now on the member votes in the epochs above `vote_floor`.
  void start_voting(std::uint32_t vote_floor) {
    has_recovered_ = true;
    vote_floor_ = vote_floor;
  }
  // The member never votes again in this process: its successor takes over.
  void retire() { is_retired_ = true; }

  // Whether a ballot higher than `ballot` has been promised.
  [[nodiscard]] bool has_promised_above(const Ballot& ballot) const {
    return promised_ballot_ && ballot < *promised_ballot_;
  }
  void promise(std::uint32_t epoch, const Ballot& ballot) {
    promised_ballot_ = ballot;
    highest_voted_epoch_ = epoch;
  }
  void accept(const Ballot& ballot, const ClusterConfig& plan) {
    promise(plan.epoch, ballot);
    accepted_ballot_ = ballot;
    accepted_plan_ = plan;
  }
  // Called when the instance is decided. The next one starts without promises.
  void start_next_instance() {
    promised_ballot_.reset();
    accepted_ballot_.reset();
    accepted_plan_.reset();
  }

 private:
  friend class ConsensusStateEncoder;

  bool has_recovered_;
  bool is_retired_ = false;
  std::uint32_t vote_floor_ = 0;  // The member votes in no epoch up to this one.
  std::uint32_t highest_voted_epoch_ = 0;
  std::optional<Ballot> promised_ballot_;
  std::optional<Ballot> accepted_ballot_;
  std::optional<ClusterConfig> accepted_plan_;
};

}  // namespace rookproxy::cluster
