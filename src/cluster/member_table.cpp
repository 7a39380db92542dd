#include "cluster/member_table.h"

#include <algorithm>
#include <utility>

namespace rookproxy::cluster {

namespace {

// An upper bound that start times in microseconds do not reach.
constexpr Incarnation kIncarnationLimit = Incarnation{1} << 62;

}  // namespace

bool is_valid_incarnation(Incarnation incarnation) {
  return incarnation > 0 && incarnation < kIncarnationLimit;
}

MemberTable::MemberTable(const MembershipSettings& settings)
    : suspicion_timeout_(settings.suspicion_timeout()),
      failed_member_retention_(settings.failed_member_retention),
      records_(settings.member_count) {}

Time MemberTable::next_suspicion_deadline(Time latest) const {
  Time next = latest;
  for (const MemberRecord& record : records_) {
    if (record.state == MemberState::kSuspect) next = std::min(next, record.state_deadline);
  }
  return next;
}

void MemberTable::set_state(MemberId member, std::optional<MemberState> state, Incarnation incarnation,
                            Time now) {
  MemberRecord& record = records_[member];
  if (state != record.state) changes_.push_back({member, record.state, state});
  const bool counted_as_alive = record.counts_as_alive();
  record.state = state;
  record.incarnation = incarnation;
  record.transmissions = 0;
  record.suspected_locally = false;
  if (record.counts_as_alive() && !counted_as_alive) ++alive_others_;
  if (!record.counts_as_alive() && counted_as_alive) --alive_others_;
  if (state == MemberState::kSuspect) record.state_deadline = now + suspicion_timeout_;
  if (state == MemberState::kFailed) record.state_deadline = now + failed_member_retention_;
}

bool MemberTable::apply(const GossipUpdate& update, Time now) {
  const MemberRecord& record = records_[update.member];
  if (update.incarnation < record.incarnation) return false;
  // For the same incarnation, the worse state takes precedence. An unknown member that has an incarnation was
  // considered failed before it was forgotten.
  const MemberState known = record.state.value_or(MemberState::kFailed);
  if (update.incarnation > record.incarnation || update.state > known) {
    set_state(update.member, update.state, update.incarnation, now);
  }
  return true;
}

void MemberTable::record_sender(MemberId member, Incarnation incarnation, Time now) {
  MemberRecord& record = records_[member];
  if (incarnation > record.incarnation) {
    // A member that refutes a suspicion already has a table.
    if (record.state != MemberState::kSuspect) record.needs_full_table = true;
    set_state(member, MemberState::kAlive, incarnation, now);
  }
  // A process whose clock is behind its predecessor's starts with a stale incarnation. It takes a higher one
  // once it is informed.
  record.has_stale_incarnation = incarnation < record.incarnation;
}

void MemberTable::record_ack(MemberId member) {
  MemberRecord& record = records_[member];
  if (record.has_acked) return;
  record.has_acked = true;
  ++acked_count_;
}

void MemberTable::expire_suspicions(Time now) {
  for (std::size_t i = 0; i < records_.size(); ++i) {
    const MemberRecord& record = records_[i];
    if (record.state != MemberState::kSuspect || record.state_deadline > now) continue;
    set_state(static_cast<MemberId>(i), MemberState::kFailed, record.incarnation, now);
  }
}

void MemberTable::extend_suspicions(Duration by) {
  for (MemberRecord& record : records_) {
    if (record.state == MemberState::kSuspect) record.state_deadline += by;
  }
}

void MemberTable::forget_failed(Time now) {
  for (std::size_t i = 0; i < records_.size(); ++i) {
    const MemberRecord& record = records_[i];
    if (record.state != MemberState::kFailed || record.state_deadline > now) continue;
    set_state(static_cast<MemberId>(i), std::nullopt, record.incarnation, now);
  }
}

void MemberTable::reset_after_stall(unsigned max_transmissions, Time now) {
  acked_count_ = 0;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    MemberRecord& record = records_[i];
    if (record.state == MemberState::kSuspect) {
      set_state(static_cast<MemberId>(i), MemberState::kAlive, record.incarnation, now);
    }
    record.has_acked = false;
    record.transmissions = static_cast<std::uint16_t>(max_transmissions);
  }
}

std::vector<MemberChange> MemberTable::take_changes() { return std::exchange(changes_, {}); }

}  // namespace rookproxy::cluster
