#include "cluster/membership.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace rookproxy::cluster {

namespace {
constexpr std::size_t kMaxProbes = 16;        // under way; more only if ticks come far too late
constexpr std::size_t kMaxRelays = 64;        // pings for others under way
constexpr std::size_t kAcksToBeCurrent = 15;  // answers after which the table is as new as the fleet's
// A process's start in microseconds lies far below. From here on there is no room left to refute.
constexpr Incarnation kIncarnationLimit = Incarnation(1) << 62;

bool is_valid_incarnation(Incarnation incarnation) {
  return incarnation > 0 && incarnation < kIncarnationLimit;
}
}  // namespace

Duration MembershipSettings::suspicion_timeout() const {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(probe_interval.count()) * suspicion_multiplier *
                                 std::log2(static_cast<double>(member_count) + 1)));
}

Duration MembershipSettings::effective_stall_threshold() const {
  return std::min(suspicion_timeout() / 2, stall_threshold);
}

std::string MembershipSettings::fault() const {
  if (member_count < 1 || member_count > kMaxMembers)
    return "members: set 1 to " + std::to_string(kMaxMembers);
  if (self >= member_count) return "self: set the own place in the list of members, from 0";
  if (probe_interval < Duration(1000)) return "period: set 1 ms or more";
  if (ping_timeout <= Duration(0) || ping_timeout > probe_interval / 2)
    return "direct: set over 0 and at most half of the period";
  if (indirect_ping_count < 0 || indirect_ping_count > 16) return "proxies: set 0 to 16";
  if (!(suspicion_multiplier >= 1 && suspicion_multiplier <= 100)) return "suspicion: set 1 to 100";
  if (failed_member_retention < suspicion_timeout()) return "forget: set at least the suspicion span";
  if (stall_threshold < probe_interval) return "wake_after: set at least the period";
  if (isolation_timeout < probe_interval) return "alone_after: set at least the period";
  if (gossip_updates_per_message < 1 || gossip_updates_per_message > 100) return "rumours: set 1 to 100";
  if (max_messages_per_second < 2 * (indirect_ping_count + 4))
    return "messages: set at least twice the proxies and 8";
  if (fast_probe_count < 0 || fast_probe_count > 16) return "hurry: set 0 to 16";
  return "";
}

Membership::Membership(const MembershipSettings& settings, Incarnation start, std::uint64_t seed, Time now)
    : settings_(settings),
      suspicion_timeout_(settings.suspicion_timeout()),
      stall_threshold_(settings.effective_stall_threshold()),
      max_transmissions_(
          static_cast<unsigned>(std::ceil(3 * std::log2(static_cast<double>(settings.member_count) + 1)))),
      own_incarnation_(start),
      random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
      message_tokens_(settings.max_messages_per_second),
      tokens_updated_at_(now),
      started_at_(now),
      last_event_at_(now) {
  if (auto fault = settings.fault(); !fault.empty()) throw std::invalid_argument("membership: " + fault);
  if (!is_valid_incarnation(start))
    throw std::invalid_argument("membership: the start's time is no incarnation");
  records_.resize(settings.member_count);
  for (std::size_t i = 0; i < settings.member_count; ++i) {
    if (i != settings.self) probe_order_.push_back(static_cast<MemberId>(i));
  }
  std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  table_cursor_ = random_() % settings.member_count;
  // Answers to a predecessor's pings do not look like answers to ours.
  next_number_ = first_valid_number_ = static_cast<std::uint32_t>(random_());
  // Not in step with others that start now.
  next_due_ = next_period_at_ =
      now + Duration(static_cast<Duration::rep>(random_() %
                                                static_cast<std::uint64_t>(settings.probe_interval.count())));
}

std::optional<MemberState> Membership::to_member_state(RecordState state) {
  switch (state) {
    case RecordState::kAlive:
      return MemberState::kAlive;
    case RecordState::kSuspect:
      return MemberState::kSuspect;
    case RecordState::kFailed:
      return MemberState::kFailed;
    case RecordState::kUnknown:
      break;
  }
  return std::nullopt;
}

std::optional<MemberState> Membership::state_of(MemberId member) const {
  if (member == settings_.self) return MemberState::kAlive;
  return member < records_.size() ? to_member_state(records_[member].state) : std::nullopt;
}

std::vector<MemberId> Membership::alive_members() const {
  std::vector<MemberId> all;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    if (i == settings_.self || counts_as_alive(records_[i].state)) all.push_back(static_cast<MemberId>(i));
  }
  return all;
}

bool Membership::is_current(Time now) const {
  return current_ && now <= next_due_ + stall_threshold_ && now + stall_threshold_ >= last_event_at_;
}

void Membership::update_clock(Time now) {
  if (now > next_due_ + stall_threshold_ || now + stall_threshold_ < last_event_at_) recover_from_stall(now);
  last_event_at_ = now;
  const std::chrono::duration<double> passed = std::max(Duration(0), now - tokens_updated_at_);
  message_tokens_ = std::min<double>(settings_.max_messages_per_second,
                                     message_tokens_ + passed.count() * settings_.max_messages_per_second);
  tokens_updated_at_ = now;
}

void Membership::recover_from_stall(Time now) {
  ++metrics_.stalls;
  ++own_incarnation_;  // whatever is said of us meanwhile is of the former one
  probes_.clear();
  relays_.clear();
  first_valid_number_ = next_number_;
  acked_count_ = 0;
  current_ = false;
  started_at_ = next_period_at_ = next_due_ = now;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    MemberRecord& entry = records_[i];
    if (entry.state == RecordState::kSuspect)
      set_state(static_cast<MemberId>(i), RecordState::kAlive, entry.incarnation, now);
    entry.has_acked = false;
    entry.transmissions = static_cast<std::uint16_t>(max_transmissions_);  // old news
  }
}

// The answers may lie unread in the socket: they get a direct timeout more, from now on.
void Membership::extend_deadlines_after_delay(Time now) {
  const Duration late = now - next_due_;
  if (late <= settings_.ping_timeout) return;
  for (Probe& probe : probes_) {
    probe.ping_deadline += late + settings_.ping_timeout;
    probe.deadline += late + settings_.ping_timeout;
  }
  for (MemberRecord& entry : records_) {
    if (entry.state == RecordState::kSuspect) entry.state_deadline += late;
  }
}

Membership::Result Membership::tick(Time now) {
  update_clock(now);
  extend_deadlines_after_delay(now);
  expire_probes(now);
  expire_suspicions(now);
  if (now >= next_period_at_) run_protocol_period(now);
  return take_result(now);
}

Membership::Result Membership::receive(Time now, MemberId from, Incarnation incarnation,
                                       const MessageBody& body, const std::vector<GossipUpdate>& rumours) {
  if (from >= records_.size() || from == settings_.self) {
    ++metrics_.unknown_members;
    return {};
  }
  update_clock(now);
  if (!is_valid_incarnation(incarnation)) {
    ++metrics_.ignored_updates;
    return take_result(now);
  }
  record_sender(from, incarnation, now);
  for (const GossipUpdate& rumour : rumours) apply_update(rumour, now);
  if (const auto* ping = std::get_if<Ping>(&body)) {
    enqueue(from, Ack{ping->number, settings_.self});
  } else if (const auto* ask = std::get_if<PingRequest>(&body)) {
    relay_ping(from, *ask, now);
  } else if (const auto* ack = std::get_if<Ack>(&body)) {
    handle_ack(from, *ack);
  }
  return take_result(now);
}

Membership::Result Membership::take_result(Time now) {
  if (!current_) {
    const std::size_t majority = (alive_others_ + 1) / 2;  // with ourselves, of those held and ourselves
    current_ = alive_others_ > 0 ? acked_count_ >= std::min(kAcksToBeCurrent, majority) &&
                                       now >= started_at_ + 2 * settings_.probe_interval
                                 : now >= started_at_ + settings_.isolation_timeout;
  }
  next_due_ = next_period_at_;
  for (const Probe& probe : probes_)
    next_due_ = std::min(next_due_, probe.indirect_sent ? probe.deadline : probe.ping_deadline);
  for (const MemberRecord& entry : records_) {
    if (entry.state == RecordState::kSuspect) next_due_ = std::min(next_due_, entry.state_deadline);
  }
  Result done = std::move(pending_result_);
  pending_result_ = {};
  return done;
}

void Membership::enqueue(MemberId to, MessageBody body) {
  if (message_tokens_ < 1) {
    ++metrics_.rate_limited;
    return;
  }
  message_tokens_ -= 1;
  pending_result_.messages.push_back({to, std::move(body)});
}

// The next in order from `place` on, once round at the most.
template <class Which>
std::optional<MemberId> Membership::next_matching(std::size_t& place, Which which) const {
  for (std::size_t i = 0; i < probe_order_.size(); ++i) {
    place = (place + 1) % probe_order_.size();
    if (which(records_[probe_order_[place]])) return probe_order_[place];
  }
  return std::nullopt;
}

void Membership::run_protocol_period(Time now) {
  next_period_at_ += settings_.probe_interval;
  if (next_period_at_ <= now) next_period_at_ = now + settings_.probe_interval;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    if (records_[i].state == RecordState::kFailed && records_[i].state_deadline <= now) {
      set_state(static_cast<MemberId>(i), RecordState::kUnknown, records_[i].incarnation, now);
    }
  }
  // A place is left behind only by a probe, so each of those held has one in each pass.
  for (std::size_t looked = 0; looked < 2 * probe_order_.size() && probes_.size() < kMaxProbes; ++looked) {
    if (probe_index_ >= probe_order_.size()) {
      probe_index_ = 0;
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    const MemberId member = probe_order_[probe_index_++];
    if (!counts_as_alive(records_[member].state)) continue;
    ++metrics_.probes;
    probes_.push_back({member, next_number_, records_[member].incarnation, now + settings_.ping_timeout,
                       now + settings_.probe_interval});
    enqueue(member, Ping{next_number_++});
    break;
  }
  // One whom we accuse hears of it at once, and its answer clears it with us, who spread the word.
  const auto accused = next_matching(suspect_index_, [](const MemberRecord& entry) {
    return entry.state == RecordState::kSuspect && entry.suspected_locally;
  });
  if (accused) enqueue(*accused, Ping{next_number_++});
  send_join_pings();
}

// Pings that prove nothing if they are not answered: they find who came back, where no probe goes.
void Membership::send_join_pings() {
  odd_period_ = !odd_period_;
  if (odd_period_) {
    const auto absent =
        next_matching(join_index_, [](const MemberRecord& entry) { return !counts_as_alive(entry.state); });
    if (absent) enqueue(*absent, Ping{next_number_++});
  }
  if (current_) return;
  std::optional<MemberId> first;
  for (int i = 0; i < settings_.fast_probe_count; ++i) {
    const auto unheard = next_matching(fast_probe_index_, [](const MemberRecord& entry) {
      return !entry.has_acked && entry.state != RecordState::kFailed;
    });
    if (!unheard || unheard == first) break;
    if (!first) first = unheard;
    enqueue(*unheard, Ping{next_number_++});
  }
}

void Membership::expire_probes(Time now) {
  for (Probe& probe : probes_) {
    if (probe.indirect_sent || probe.ping_deadline > now) continue;
    probe.indirect_sent = true;
    ++metrics_.indirect_probes;
    enqueue(probe.member, Ping{probe.number});
    std::vector<MemberId> able;
    for (const MemberId member : probe_order_) {
      if (member != probe.member && records_[member].state == RecordState::kAlive) able.push_back(member);
    }
    for (std::size_t i = 0;
         i < std::min<std::size_t>(able.size(), static_cast<std::size_t>(settings_.indirect_ping_count));
         ++i) {
      std::swap(able[i], able[i + random_() % (able.size() - i)]);
      enqueue(able[i], PingRequest{probe.number, probe.member});
    }
  }
  const auto over = std::stable_partition(probes_.begin(), probes_.end(),
                                          [&](const Probe& probe) { return probe.deadline > now; });
  for (auto probe = over; probe != probes_.end(); ++probe) {
    MemberRecord& entry = records_[probe->member];
    // Heard of anew meanwhile: the silence was another's.
    if (entry.state != RecordState::kAlive || entry.incarnation != probe->incarnation) continue;
    ++metrics_.suspicions;
    set_state(probe->member, RecordState::kSuspect, entry.incarnation, now);
    entry.suspected_locally = true;
  }
  probes_.erase(over, probes_.end());
}

void Membership::expire_suspicions(Time now) {
  for (std::size_t i = 0; i < records_.size(); ++i) {
    const MemberRecord& entry = records_[i];
    if (entry.state == RecordState::kSuspect && entry.state_deadline <= now) {
      set_state(static_cast<MemberId>(i), RecordState::kFailed, entry.incarnation, now);
    }
  }
}

void Membership::set_state(MemberId member, RecordState state, Incarnation incarnation, Time now) {
  MemberRecord& entry = records_[member];
  if (state != entry.state)
    pending_result_.changes.push_back({member, to_member_state(entry.state), to_member_state(state)});
  if (counts_as_alive(state) != counts_as_alive(entry.state))
    counts_as_alive(state) ? ++alive_others_ : --alive_others_;
  entry.state = state;
  entry.incarnation = incarnation;
  entry.transmissions = 0;
  entry.suspected_locally = false;
  if (state == RecordState::kSuspect) entry.state_deadline = now + suspicion_timeout_;
  if (state == RecordState::kFailed) entry.state_deadline = now + settings_.failed_member_retention;
}

void Membership::record_sender(MemberId from, Incarnation incarnation, Time now) {
  MemberRecord& entry = records_[from];
  if (incarnation > entry.incarnation) {
    // One that only refutes has a table.
    if (entry.state != RecordState::kSuspect) entry.needs_full_table = true;
    set_state(from, RecordState::kAlive, incarnation, now);
  }
  // It started with a clock behind its predecessor's; told so, it takes a higher one.
  entry.has_stale_incarnation = incarnation < entry.incarnation;
}

void Membership::apply_update(const GossipUpdate& rumour, Time now) {
  if (rumour.member >= records_.size()) {
    ++metrics_.unknown_members;
    return;
  }
  if (!is_valid_incarnation(rumour.incarnation)) {
    ++metrics_.ignored_updates;
    return;
  }
  if (rumour.member == settings_.self) {
    if (rumour.incarnation < own_incarnation_) {
      ++metrics_.ignored_updates;
    } else if (rumour.incarnation > own_incarnation_ || rumour.state != MemberState::kAlive) {
      own_incarnation_ = rumour.incarnation + 1;
      ++metrics_.refutations;
    }
    return;
  }
  const MemberRecord& entry = records_[rumour.member];
  if (rumour.incarnation < entry.incarnation) {
    ++metrics_.ignored_updates;
    return;
  }
  const RecordState said = rumour.state == MemberState::kAlive     ? RecordState::kAlive
                           : rumour.state == MemberState::kSuspect ? RecordState::kSuspect
                                                                   : RecordState::kFailed;
  // Of one incarnation the worse word stands; the unknown that has one was gone.
  const RecordState held = entry.state == RecordState::kUnknown ? RecordState::kFailed : entry.state;
  if (rumour.incarnation > entry.incarnation || said > held)
    set_state(rumour.member, said, rumour.incarnation, now);
}

void Membership::relay_ping(MemberId from, const PingRequest& ask, Time now) {
  if (ask.about == settings_.self) {
    enqueue(from, Ack{ask.number, settings_.self});
    return;
  }
  if (ask.about >= records_.size() || ask.about == from) {
    ++metrics_.unknown_members;
    return;
  }
  std::erase_if(relays_, [&](const Relay& relay) { return relay.deadline <= now; });
  if (relays_.size() >= kMaxRelays) {
    ++metrics_.rate_limited;
    return;
  }
  relays_.push_back({from, ask.about, next_number_, ask.number, now + settings_.probe_interval});
  enqueue(ask.about, Ping{next_number_++});
}

void Membership::handle_ack(MemberId from, const Ack& ack) {
  std::erase_if(probes_,
                [&](const Probe& probe) { return probe.number == ack.number && probe.member == ack.about; });
  if (ack.about != from) return;
  const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& each) {
    return each.number == ack.number && each.target == from;
  });
  if (relay != relays_.end()) {
    enqueue(relay->requester, Ack{relay->requester_number, from});
    relays_.erase(relay);
  }
  MemberRecord& entry = records_[from];
  const bool ours =
      ack.number - first_valid_number_ < next_number_ - first_valid_number_;  // numbers may run over
  if (ours && !entry.has_acked) {
    entry.has_acked = true;
    ++acked_count_;
  }
}

std::vector<GossipUpdate> Membership::gossip_for(MemberId to, std::size_t most) {
  std::vector<GossipUpdate> out;
  if (to >= records_.size() || to == settings_.self || most == 0) return out;
  const auto tell = [&](MemberId member) {
    const MemberRecord& entry = records_[member];
    out.push_back({member, entry.incarnation, to_member_state(entry.state).value_or(MemberState::kFailed)});
  };
  MemberRecord& receiver = records_[to];
  // What is held against it, so that it may refute: unknown with an incarnation was gone.
  if (receiver.incarnation > 0 && (receiver.state != RecordState::kAlive || receiver.has_stale_incarnation))
    tell(to);
  const std::size_t room =
      receiver.needs_full_table
          ? most
          : std::min(most, static_cast<std::size_t>(settings_.gossip_updates_per_message));
  receiver.needs_full_table = false;

  const std::size_t members = records_.size();
  std::vector<MemberId> news;
  for (std::size_t i = 0; i < members; ++i) {
    const auto member = static_cast<MemberId>((table_cursor_ + i) % members);
    const MemberRecord& entry = records_[member];
    if (member == to || member == settings_.self || entry.state == RecordState::kUnknown) continue;
    if (entry.transmissions < max_transmissions_) news.push_back(member);
  }
  std::stable_sort(news.begin(), news.end(), [&](MemberId a, MemberId b) {
    return records_[a].transmissions < records_[b].transmissions;
  });
  if (news.size() > room - std::min(room, out.size())) news.resize(room - std::min(room, out.size()));
  for (const MemberId member : news) {
    tell(member);
    ++records_[member].transmissions;
  }
  // The room that is left repairs what others missed. Who has just woken has nothing to repair with.
  for (std::size_t i = 0; current_ && i < members && out.size() < room; ++i) {
    const auto member = static_cast<MemberId>(table_cursor_);
    table_cursor_ = (table_cursor_ + 1) % members;
    if (member == to || member == settings_.self || records_[member].state == RecordState::kUnknown) continue;
    if (std::find(news.begin(), news.end(), member) == news.end()) tell(member);
  }
  return out;
}

}  // namespace rookproxy::cluster
