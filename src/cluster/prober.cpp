#include "cluster/prober.h"

#include <algorithm>
#include <optional>

namespace rookproxy::cluster {

namespace {

constexpr std::size_t kMaxProbes = 16;  // Pending probes; reached only if timers run very late.
constexpr std::size_t kMaxRelays = 64;  // Pending pings on behalf of other members.

}  // namespace

void Prober::start_numbering_at(std::uint32_t first_number) {
  next_number_ = first_number;
  first_valid_number_ = first_number;
}

void Prober::ping(MemberId member, const MembershipContext& context) {
  context.outbox.send(member, Ping{next_number_++});
}

void Prober::start_probe(MemberId member, const MembershipContext& context) {
  ++context.metrics.probes;
  Probe probe;
  probe.member = member;
  probe.number = next_number_;
  probe.incarnation = context.table[member].incarnation;
  probe.ping_deadline = context.now + context.settings.ping_timeout;
  probe.deadline = context.now + context.settings.probe_interval;
  probes_.push_back(probe);
  ping(member, context);
}

void Prober::probe_next(const MembershipContext& context) {
  const MemberTable& table = context.table;
  // Only members that do not count as alive are skipped, so each of the others is probed once per pass.
  const std::size_t attempts = probes_.size() < kMaxProbes ? 2 * order_.members().size() : 0;
  for (std::size_t i = 0; i < attempts; ++i) {
    const MemberId member = order_.next(context.random);
    if (!table[member].counts_as_alive()) continue;
    start_probe(member, context);
    break;
  }
  // The ping informs a suspect of the suspicion. Its ack carries the refutation, which this member then
  // gossips.
  const auto is_own_suspect = [](const MemberRecord& record) {
    return record.state == MemberState::kSuspect && record.suspected_locally;
  };
  const auto suspect = order_.next_matching(suspect_position_, table, is_own_suspect);
  if (suspect) ping(*suspect, context);
}

void Prober::send_join_pings(int fast_probes, const MembershipContext& context) {
  const MemberTable& table = context.table;
  is_odd_period_ = !is_odd_period_;
  if (is_odd_period_) {
    const auto is_absent = [](const MemberRecord& record) { return !record.counts_as_alive(); };
    const auto absent = order_.next_matching(join_position_, table, is_absent);
    if (absent) ping(*absent, context);
  }
  const auto lacks_ack = [](const MemberRecord& record) {
    return !record.has_acked && record.state != MemberState::kFailed;
  };
  std::optional<MemberId> first;
  for (int i = 0; i < fast_probes; ++i) {
    const auto unacked = order_.next_matching(fast_probe_position_, table, lacks_ack);
    if (!unacked || unacked == first) break;
    if (!first) first = unacked;
    ping(*unacked, context);
  }
}

void Prober::request_indirect_pings(Probe& probe, const MembershipContext& context) {
  probe.is_indirect = true;
  ++context.metrics.indirect_probes;
  context.outbox.send(probe.member, Ping{probe.number});
  std::vector<MemberId> candidates;
  for (const MemberId member : order_.members()) {
    const bool is_alive = context.table[member].state == MemberState::kAlive;
    if (member != probe.member && is_alive) candidates.push_back(member);
  }
  const auto wanted = static_cast<std::size_t>(context.settings.indirect_ping_count);
  const std::size_t count = std::min(candidates.size(), wanted);
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(candidates[i], candidates[i + context.random() % (candidates.size() - i)]);
    context.outbox.send(candidates[i], PingRequest{probe.number, probe.member});
  }
}

void Prober::suspect(const Probe& probe, const MembershipContext& context) {
  MemberRecord& record = context.table[probe.member];
  // If the incarnation has changed in the meantime, the probe was of the member's earlier process.
  if (record.state != MemberState::kAlive || record.incarnation != probe.incarnation) return;
  ++context.metrics.suspicions;
  context.table.set_state(probe.member, MemberState::kSuspect, record.incarnation, context.now);
  record.suspected_locally = true;
}

void Prober::expire(const MembershipContext& context) {
  for (Probe& probe : probes_) {
    if (!probe.is_indirect && probe.ping_deadline <= context.now) request_indirect_pings(probe, context);
  }
  const auto expired = std::stable_partition(
      probes_.begin(), probes_.end(), [&](const Probe& probe) { return probe.deadline > context.now; });
  for (auto probe = expired; probe != probes_.end(); ++probe) suspect(*probe, context);
  probes_.erase(expired, probes_.end());
}

void Prober::relay(MemberId from, const PingRequest& request, const MembershipContext& context) {
  if (request.target == context.settings.self) {
    context.outbox.send(from, Ack{request.number, request.target});
    return;
  }
  if (!context.table.contains(request.target) || request.target == from) {
    ++context.metrics.unknown_members;
    return;
  }
  std::erase_if(relays_, [&](const Relay& relay) { return relay.deadline <= context.now; });
  if (relays_.size() >= kMaxRelays) {
    ++context.metrics.rate_limited;
    return;
  }
  Relay relay;
  relay.requester = from;
  relay.target = request.target;
  relay.number = next_number_;
  relay.requester_number = request.number;
  relay.deadline = context.now + context.settings.probe_interval;
  relays_.push_back(relay);
  ping(request.target, context);
}

void Prober::handle_ack(MemberId from, const Ack& ack, const MembershipContext& context) {
  std::erase_if(probes_,
                [&](const Probe& probe) { return probe.number == ack.number && probe.member == ack.target; });
  if (ack.target != from) return;
  const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& each) {
    return each.number == ack.number && each.target == from;
  });
  if (relay != relays_.end()) {
    context.outbox.send(relay->requester, Ack{relay->requester_number, from});
    relays_.erase(relay);
  }
  // Compares unsigned differences, since the numbers may wrap around.
  const bool is_valid = ack.number - first_valid_number_ < next_number_ - first_valid_number_;
  if (is_valid) context.table.record_ack(from);
}

Time Prober::next_deadline(Time latest) const {
  Time next = latest;
  for (const Probe& probe : probes_) {
    next = std::min(next, probe.is_indirect ? probe.deadline : probe.ping_deadline);
  }
  return next;
}

void Prober::extend_deadlines(Duration by) {
  for (Probe& probe : probes_) {
    probe.ping_deadline += by;
    probe.deadline += by;
  }
}

void Prober::reset() {
  probes_.clear();
  relays_.clear();
  first_valid_number_ = next_number_;
}

}  // namespace rookproxy::cluster
