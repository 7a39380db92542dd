#include "cluster/lease_renewal.h"

#include <algorithm>

namespace rookproxy::cluster {

void LeaseRenewal::set_alive(const std::vector<MemberId>& alive, const ConsensusSettings& settings) {
  rank_ = 0;
  alive_count_ = 1;
  for (const MemberId member : alive) {
    if (member == settings.self || member >= settings.member_count) continue;
    ++alive_count_;
    if (member < settings.self) ++rank_;
  }
}

Duration LeaseRenewal::rank_delay(const ConsensusSettings& settings) const {
  return static_cast<int>(rank_) * settings.takeover_delay;
}

Elapsed LeaseRenewal::next_query_due(const ConsensusSettings& settings) const {
  return query_ ? kNever : rank_zero_due_ + rank_delay(settings);
}

Elapsed LeaseRenewal::query_deadline(const ConsensusSettings& settings) const {
  return query_ ? query_->sent_at + settings.query_timeout : kNever;
}

void LeaseRenewal::start_query(std::uint32_t query_number, Elapsed now) {
  query_ = Query{};
  query_->number = query_number;
  query_->sent_at = now;
}

Lease LeaseRenewal::make_lease(std::uint32_t known_epoch, const ConsensusContext& context) const {
  return {known_epoch, query_->sent_at + context.settings.lease_duration - context.now, query_->number};
}

void LeaseRenewal::record_reply(MemberId from, const RecoveryReply& reply, std::uint32_t known_epoch,
                                const ConsensusContext& context) {
  if (context.now >= query_deadline(context.settings)) return;
  const bool is_same_epoch = reply.epoch == known_epoch;
  if (is_same_epoch && reply.highest_voted_epoch > known_epoch) query_->is_instance_open = true;
  if (is_same_epoch && reply.is_voting) query_->agreeing.set(from);
  const bool is_late_reply = query_->is_quorum_reached && !query_->replied[from];
  query_->replied.set(from);
  if (is_late_reply) context.outbox.send(from, make_lease(known_epoch, context));
}

std::optional<Elapsed> LeaseRenewal::try_grant(std::uint32_t known_epoch, const ConsensusContext& context) {
  const std::size_t confirmations = query_->agreeing.count() + 1;  // With this member's own.
  if (query_->is_quorum_reached || confirmations < context.settings.majority()) return std::nullopt;
  query_->is_quorum_reached = true;
  // The lease is granted only to members that have replied in time, whose clocks confirm that the query is
  // recent.
  const Lease lease = make_lease(known_epoch, context);
  for (std::size_t member = 0; member < context.settings.member_count; ++member) {
    if (query_->replied[member]) context.outbox.send(static_cast<MemberId>(member), lease);
  }
  return query_->sent_at + context.settings.lease_duration;
}

bool LeaseRenewal::finish_query(bool is_instance_open_here, const ConsensusContext& context) {
  const ConsensusSettings& settings = context.settings;
  const Query query = *query_;
  query_.reset();
  if (!query.is_quorum_reached) {
    // The members take turns, so that one member queries per takeover delay even without a quorum.
    const Duration all_turns = static_cast<int>(alive_count_) * settings.takeover_delay;
    rank_zero_due_ =
        query.sent_at + std::max(settings.lease_renewal_interval, all_turns) - rank_delay(settings);
    return false;
  }
  if (!query.is_instance_open && !is_instance_open_here) {
    instance_open_since_.reset();
    return false;
  }
  if (!instance_open_since_) {
    instance_open_since_ = query.sent_at;
    return false;
  }
  return context.now - *instance_open_since_ >= settings.instance_close_delay;
}

void LeaseRenewal::on_renewed(const ConsensusContext& context) {
  rank_zero_due_ = context.now + context.settings.lease_renewal_interval;
}

void LeaseRenewal::on_plan_learned(const ConsensusContext& context) {
  instance_open_since_.reset();
  if (!query_) return;
  query_.reset();
  rank_zero_due_ = context.now - rank_delay(context.settings);  // Due at once.
}

}  // namespace rookproxy::cluster
