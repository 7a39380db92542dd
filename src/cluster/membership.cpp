#include "cluster/membership.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace rookproxy::cluster {

namespace {

// The number of acks after which the table is considered up to date, since each ack carries the most recent
// updates of its sender. Only acks to pings since the start or the last stall count: datagrams that were
// queued in the socket during a stall are as old as the table.
constexpr std::size_t kAcksUntilCurrent = 15;

// The minimum number of protocol periods from the start until a member is current.
constexpr int kPeriodsUntilCurrent = 2;

const MembershipSettings& validated(const MembershipSettings& settings) {
  if (const auto invalid = settings.validate()) {
    throw std::invalid_argument("membership: " + invalid->text());
  }
  return settings;
}

std::mt19937 make_random(std::uint64_t seed) {
  return std::mt19937(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32)));
}

// Spreads the first periods of members that start at the same time.
Time first_period(const MembershipSettings& settings, Time now, std::mt19937& random) {
  const auto interval = static_cast<std::uint64_t>(settings.probe_interval.count());
  return now + Duration(static_cast<Duration::rep>(random() % interval));
}

}  // namespace

// The order in which the parts draw from random_ must not change, or a seed no longer reproduces a run.
Membership::Membership(const MembershipSettings& settings, Incarnation start, std::uint64_t seed, Time now)
    : settings_(validated(settings)),
      stall_threshold_(settings.effective_stall_threshold()),
      own_incarnation_(start),
      random_(make_random(seed)),
      table_(settings),
      prober_(settings, random_),
      gossip_(settings, random_() % settings.member_count),
      outbox_(settings.max_messages_per_second, now),
      started_at_(now),
      last_event_at_(now) {
  prober_.start_numbering_at(static_cast<std::uint32_t>(random_()));
  next_period_at_ = first_period(settings, now, random_);
  next_due_ = next_period_at_;
  if (!is_valid_incarnation(start)) {
    throw std::invalid_argument("membership: the start time of the process is not a valid incarnation");
  }
}

MembershipContext Membership::make_context(Time now) {
  return {settings_, now, table_, outbox_, metrics_, random_};
}

// ---- Queries ----------------------------------------------------------------------------------------------

std::optional<MemberState> Membership::state_of(MemberId member) const {
  if (member == settings_.self) return MemberState::kAlive;
  return table_.contains(member) ? table_[member].state : std::nullopt;
}

std::vector<MemberId> Membership::alive_members() const {
  std::vector<MemberId> alive;
  for (std::size_t i = 0; i < table_.size(); ++i) {
    const auto member = static_cast<MemberId>(i);
    if (member == settings_.self || table_[member].counts_as_alive()) alive.push_back(member);
  }
  return alive;
}

bool Membership::is_current(Time now) const {
  return is_current_ && now <= next_due_ + stall_threshold_ && now + stall_threshold_ >= last_event_at_;
}

MembershipMetrics Membership::metrics() const {
  MembershipMetrics metrics = metrics_;
  metrics.rate_limited += outbox_.dropped();
  return metrics;
}

std::vector<GossipUpdate> Membership::gossip_for(MemberId to, std::size_t limit) {
  return gossip_.select(to, limit, is_current_, table_);
}

// ---- Events -----------------------------------------------------------------------------------------------

Membership::Result Membership::tick(Time now) {
  update_clock(now);
  extend_deadlines_after_delay(now);
  prober_.expire(make_context(now));
  table_.expire_suspicions(now);
  if (now >= next_period_at_) run_protocol_period(now);
  return take_result(now);
}

Membership::Result Membership::receive(Time now, MemberId from, Incarnation incarnation,
                                       const MessageBody& body, const std::vector<GossipUpdate>& gossip) {
  if (!table_.contains(from) || from == settings_.self) {
    ++metrics_.unknown_members;
    return {};
  }
  update_clock(now);
  if (!is_valid_incarnation(incarnation)) {
    ++metrics_.ignored_updates;
    return take_result(now);
  }
  table_.record_sender(from, incarnation, now);
  for (const GossipUpdate& update : gossip) apply_update(update, now);
  handle(from, body, now);
  return take_result(now);
}

void Membership::handle(MemberId from, const MessageBody& body, Time now) {
  if (const auto* ping = std::get_if<Ping>(&body)) {
    outbox_.send(from, Ack{ping->number, settings_.self});
  } else if (const auto* request = std::get_if<PingRequest>(&body)) {
    prober_.relay(from, *request, make_context(now));
  } else if (const auto* ack = std::get_if<Ack>(&body)) {
    prober_.handle_ack(from, *ack, make_context(now));
  }
}

void Membership::apply_update(const GossipUpdate& update, Time now) {
  if (!table_.contains(update.member)) {
    ++metrics_.unknown_members;
    return;
  }
  if (!is_valid_incarnation(update.incarnation)) {
    ++metrics_.ignored_updates;
    return;
  }
  if (update.member == settings_.self) {
    refute(update);
  } else if (!table_.apply(update, now)) {
    ++metrics_.ignored_updates;
  }
}

// Handles gossip about this member. Unless it states that this incarnation is alive, or is outdated, the
// member takes a higher incarnation.
void Membership::refute(const GossipUpdate& update) {
  if (update.incarnation < own_incarnation_) {
    ++metrics_.ignored_updates;
  } else if (update.incarnation > own_incarnation_ || update.state != MemberState::kAlive) {
    own_incarnation_ = update.incarnation + 1;
    ++metrics_.refutations;
  }
}

void Membership::run_protocol_period(Time now) {
  next_period_at_ += settings_.probe_interval;
  if (next_period_at_ <= now) next_period_at_ = now + settings_.probe_interval;
  table_.forget_failed(now);
  const MembershipContext context = make_context(now);
  prober_.probe_next(context);
  prober_.send_join_pings(is_current_ ? 0 : settings_.fast_probe_count, context);
}

Membership::Result Membership::take_result(Time now) {
  update_is_current(now);
  next_due_ = table_.next_suspicion_deadline(prober_.next_deadline(next_period_at_));
  return {outbox_.take(), table_.take_changes()};
}

void Membership::update_is_current(Time now) {
  if (is_current_) return;
  if (table_.alive_others() == 0) {
    is_current_ = now >= started_at_ + settings_.isolation_timeout;
    return;
  }
  const std::size_t majority_of_others = (table_.alive_others() + 1) / 2;  // A majority with this member.
  const bool has_enough_acks = table_.acked_count() >= std::min(kAcksUntilCurrent, majority_of_others);
  is_current_ = has_enough_acks && now >= started_at_ + kPeriodsUntilCurrent * settings_.probe_interval;
}

// ---- Time -------------------------------------------------------------------------------------------------

void Membership::update_clock(Time now) {
  if (now > next_due_ + stall_threshold_ || now + stall_threshold_ < last_event_at_) recover_from_stall(now);
  last_event_at_ = now;
  outbox_.refill(now);
}

void Membership::recover_from_stall(Time now) {
  ++metrics_.stalls;
  ++own_incarnation_;  // Gossip sent during the stall is about the previous incarnation.
  prober_.reset();
  table_.reset_after_stall(gossip_.max_transmissions(), now);
  is_current_ = false;
  started_at_ = now;
  next_period_at_ = now;
  next_due_ = now;
}

// Handles a timer that is late by less than the stall threshold. Acks may be unread in the socket, so the
// deadlines of probes are extended by the delay plus one ping timeout.
void Membership::extend_deadlines_after_delay(Time now) {
  const Duration delay = now - next_due_;
  if (delay <= settings_.ping_timeout) return;
  prober_.extend_deadlines(delay + settings_.ping_timeout);
  table_.extend_suspicions(delay);
}

}  // namespace rookproxy::cluster
