// Encodes the state of a Consensus as bytes, for tests that compare states.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cluster/consensus.h"

namespace rookproxy::cluster {

// Reads the private state of Consensus and of its parts.
class ConsensusStateEncoder {
 public:
  // Encodes everything that determines the member's future behaviour, which excludes metrics: two members
  // with equal encodings behave the same. Times are encoded as durations from now, limited to `horizon`.
  static std::string encode(const Consensus& consensus, Duration horizon = Duration::max());

 private:
  explicit ConsensusStateEncoder(const Consensus& consensus, Duration horizon);

  void encode_acceptor();
  void encode_proposer();
  void encode_query();
  void encode_recovery();
  void encode_lease();

  void put(std::uint64_t value);
  void put(const Ballot& ballot);
  void put(const ClusterConfig& plan);
  void put(const MemberSet& members);
  template <class T>
  void put(const std::optional<T>& value);
  void put_span(Duration span);
  void put_remaining(Elapsed until);
  void put_past(Elapsed since, Duration limit);

  const Consensus& consensus_;
  Duration horizon_;
  Elapsed now_;
  std::string bytes_;
};

inline std::string ConsensusStateEncoder::encode(const Consensus& consensus, Duration horizon) {
  ConsensusStateEncoder encoder(consensus, horizon);
  encoder.put(consensus.settings_.self);
  encoder.put(consensus.settings_.process_incarnation);
  encoder.put(consensus.random_.draws_);
  encoder.encode_acceptor();
  encoder.encode_proposer();
  encoder.encode_query();
  if (!consensus.is_voting()) encoder.encode_recovery();
  encoder.encode_lease();
  return std::move(encoder.bytes_);
}

inline ConsensusStateEncoder::ConsensusStateEncoder(const Consensus& consensus, Duration horizon)
    : consensus_(consensus), horizon_(horizon), now_(consensus.clock_.elapsed()) {}

inline void ConsensusStateEncoder::encode_acceptor() {
  const Acceptor& acceptor = consensus_.acceptor_;
  put(std::uint64_t{acceptor.is_retired_});
  put(consensus_.plan_);
  put(std::uint64_t{acceptor.has_recovered_});
  put(acceptor.vote_floor_);
  put(acceptor.highest_voted_epoch_);
  put(acceptor.promised_ballot_);
  put(acceptor.accepted_ballot_);
  put(acceptor.accepted_plan_);
}

inline void ConsensusStateEncoder::encode_proposer() {
  const Proposer& proposer = consensus_.proposer_;
  put(proposer.requested_plan_);
  put(std::uint64_t{proposer.is_closing_});
  if (proposer.has_work()) put_remaining(proposer.request_deadline_);
  put(static_cast<std::uint64_t>(proposer.state_));
  put(std::uint64_t{proposer.round_.has_value()});
  if (proposer.round_) {
    const Proposer::Round& round = *proposer.round_;
    put(round.ballot);
    put(std::uint64_t{round.is_accepting});
    if (round.is_accepting) {
      put(round.value);
    } else {
      put(round.highest_accepted_ballot);
      put(round.highest_accepted_plan);
    }
    put(round.granted);
    put(round.rejected);
    put_remaining(round.deadline);
  }
  put(proposer.highest_round_);
  put(static_cast<std::uint64_t>(proposer.backoff_.doublings_));
  put_remaining(proposer.retry_at_);
  put_remaining(consensus_.earliest_next_proposal());
}

// At most one query is pending, for renewal or for recovery.
inline void ConsensusStateEncoder::encode_query() {
  const auto& renewal = consensus_.renewal_.query_;
  const auto& recovery = consensus_.recovery_.query_;
  const Duration timeout = consensus_.settings_.query_timeout;
  put(consensus_.query_number_);
  put(std::uint64_t{renewal || recovery});
  if (renewal) {
    put(renewal->number);
    put_past(renewal->sent_at, timeout);
    put(4U + renewal->is_quorum_reached * 2U + renewal->is_instance_open);
    put(renewal->agreeing);
    put(renewal->replied);
  } else if (recovery) {
    put(recovery->number);
    put_past(recovery->sent_at, timeout);
    put(std::uint64_t{0});
    put(MemberSet{});
    put(recovery->replied);
  }
}

inline void ConsensusStateEncoder::encode_recovery() {
  const VoteRecovery& recovery = consensus_.recovery_;
  put_remaining(recovery.next_query_at_);
  put(static_cast<std::uint64_t>(recovery.backoff_.doublings_));
  put(recovery.voting_repliers_);
  put(recovery.highest_reported_epoch_);
  for (const auto* replies : {&recovery.previous_non_voting_, &recovery.current_non_voting_}) {
    put(replies->size());
    for (const auto& reply : *replies) {
      put(std::uint64_t{reply.is_received});
      put(reply.incarnation);
    }
  }
  put(std::uint64_t{recovery.quorum_lost_at_.has_value()});
  if (recovery.quorum_lost_at_) put_remaining(recovery.bootstrap_due(consensus_.settings_));
}

inline void ConsensusStateEncoder::encode_lease() {
  const ConsensusSettings& settings = consensus_.settings_;
  const PlanLease& lease = consensus_.lease_;
  const LeaseRenewal& renewal = consensus_.renewal_;
  for (const auto& query : lease.received_queries_) {
    const bool counts = query.number != 0 && now_ - query.received_at < settings.lease_duration;
    put(counts ? query.number : 0);
    if (counts) put_past(query.received_at, settings.lease_duration);
  }
  put_remaining(consensus_.next_catch_up_at_);
  put(renewal.rank_);
  put(renewal.alive_count_);
  put_remaining(renewal.rank_zero_due_ + renewal.rank_delay(settings));
  put_remaining(lease.lease_expires_at_);
  put_remaining(lease.quorum_expires_at_);
  put(std::uint64_t{lease.is_expiry_counted_});
  put(std::uint64_t{renewal.instance_open_since_.has_value()});
  if (renewal.instance_open_since_) put_past(*renewal.instance_open_since_, settings.instance_close_delay);
}

// Writes seven bits per byte, the lowest first.
inline void ConsensusStateEncoder::put(std::uint64_t value) {
  constexpr std::uint64_t kBase = 128;
  while (value >= kBase) {
    bytes_.push_back(static_cast<char>(value % kBase + kBase));
    value /= kBase;
  }
  bytes_.push_back(static_cast<char>(value));
}

inline void ConsensusStateEncoder::put(const Ballot& ballot) {
  put(ballot.round);
  put(ballot.member);
}

inline void ConsensusStateEncoder::put(const ClusterConfig& plan) {
  const auto put_time = [this](Time time) {
    put(static_cast<std::uint64_t>(time.time_since_epoch().count()));
  };
  put(plan.epoch);
  put(plan.fingerprint);
  put(plan.zones.size());
  for (const ZonePlan& zone : plan.zones) {
    put(zone.zone);
    put(static_cast<std::uint64_t>(zone.state));
    put(zone.share);
    put(zone.step);
    put_time(zone.since);
  }
  put(plan.retirements.size());
  for (const RetirementPlan& retirement : plan.retirements) {
    put(retirement.site);
    put(static_cast<std::uint64_t>(retirement.state));
    put(retirement.weight);
    put(retirement.order);
    put_time(retirement.since);
  }
}

inline void ConsensusStateEncoder::put(const MemberSet& members) {
  put(members.count());
  for (std::size_t member = 0; member < members.size(); ++member) {
    if (members[member]) put(member);
  }
}

template <class T>
void ConsensusStateEncoder::put(const std::optional<T>& value) {
  put(std::uint64_t{value.has_value()});
  if (value) put(*value);
}

inline void ConsensusStateEncoder::put_span(Duration span) {
  put(static_cast<std::uint64_t>(std::clamp(span, Duration(0), horizon_).count()));
}

inline void ConsensusStateEncoder::put_remaining(Elapsed until) { put_span(until - now_); }

inline void ConsensusStateEncoder::put_past(Elapsed since, Duration limit) {
  put_span(std::min(limit, now_ - since));
}

}  // namespace rookproxy::cluster
