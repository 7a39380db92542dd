#include "decide/fleet/membership.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace rookproxy::decide::fleet {

namespace {
constexpr std::size_t kMostProbes = 16;  // under way; more only if ticks come far too late
constexpr std::size_t kMostRelays = 64;  // pings for others under way
constexpr std::size_t kEnough = 15;      // answers after which the table is as new as the fleet's
// A process's start in microseconds lies far below. From here on there is no room left to refute.
constexpr Incarnation kNoIncarnation = Incarnation(1) << 62;

bool possible(Incarnation incarnation) { return incarnation > 0 && incarnation < kNoIncarnation; }
}  // namespace

Duration MembershipSettings::span() const {
  return Duration(static_cast<Duration::rep>(static_cast<double>(period.count()) * suspicion *
                                             std::log2(static_cast<double>(members) + 1)));
}

Duration MembershipSettings::wake_bound() const { return std::min(span() / 2, wake_after); }

std::string MembershipSettings::fault() const {
  if (members < 1 || members > kMostMembers) return "members: set 1 to " + std::to_string(kMostMembers);
  if (self >= members) return "self: set the own place in the list of members, from 0";
  if (period < Duration(1000)) return "period: set 1 ms or more";
  if (direct <= Duration(0) || direct > period / 2)
    return "direct: set over 0 and at most half of the period";
  if (proxies < 0 || proxies > 16) return "proxies: set 0 to 16";
  if (!(suspicion >= 1 && suspicion <= 100)) return "suspicion: set 1 to 100";
  if (forget < span()) return "forget: set at least the suspicion span";
  if (wake_after < period) return "wake_after: set at least the period";
  if (alone_after < period) return "alone_after: set at least the period";
  if (rumours < 1 || rumours > 100) return "rumours: set 1 to 100";
  if (messages < 2 * (proxies + 4)) return "messages: set at least twice the proxies and 8";
  if (hurry < 0 || hurry > 16) return "hurry: set 0 to 16";
  return "";
}

Membership::Membership(const MembershipSettings& settings, Incarnation start, std::uint64_t seed, Time now)
    : settings_(settings),
      span_(settings.span()),
      wake_bound_(settings.wake_bound()),
      tellings_(static_cast<unsigned>(std::ceil(3 * std::log2(static_cast<double>(settings.members) + 1)))),
      own_(start),
      random_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32))),
      credit_(settings.messages),
      credit_at_(now),
      began_(now),
      last_(now) {
  if (auto fault = settings.fault(); !fault.empty()) throw std::invalid_argument("membership: " + fault);
  if (!possible(start)) throw std::invalid_argument("membership: the start's time is no incarnation");
  entries_.resize(settings.members);
  for (std::size_t i = 0; i < settings.members; ++i) {
    if (i != settings.self) order_.push_back(static_cast<MemberId>(i));
  }
  std::shuffle(order_.begin(), order_.end(), random_);
  tour_at_ = random_() % settings.members;
  // Answers to a predecessor's pings do not look like answers to ours.
  next_number_ = since_ = static_cast<std::uint32_t>(random_());
  // Not in step with others that start now.
  due_ = next_round_ =
      now +
      Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(settings.period.count())));
}

std::optional<MemberState> Membership::shown(State state) {
  switch (state) {
    case State::kAlive:
      return MemberState::kAlive;
    case State::kSuspect:
      return MemberState::kSuspect;
    case State::kGone:
      return MemberState::kGone;
    case State::kUnknown:
      break;
  }
  return std::nullopt;
}

std::optional<MemberState> Membership::state_of(MemberId member) const {
  if (member == settings_.self) return MemberState::kAlive;
  return member < entries_.size() ? shown(entries_[member].state) : std::nullopt;
}

std::vector<MemberId> Membership::alive() const {
  std::vector<MemberId> all;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (i == settings_.self || is_held(entries_[i].state)) all.push_back(static_cast<MemberId>(i));
  }
  return all;
}

bool Membership::is_current(Time now) const {
  return current_ && now <= due_ + wake_bound_ && now + wake_bound_ >= last_;
}

void Membership::look_at_clock(Time now) {
  if (now > due_ + wake_bound_ || now + wake_bound_ < last_) wake(now);
  last_ = now;
  const std::chrono::duration<double> passed = std::max(Duration(0), now - credit_at_);
  credit_ = std::min<double>(settings_.messages, credit_ + passed.count() * settings_.messages);
  credit_at_ = now;
}

void Membership::wake(Time now) {
  ++figures_.wakes;
  ++own_;  // whatever is said of us meanwhile is of the former one
  probes_.clear();
  relays_.clear();
  since_ = next_number_;
  heard_ = 0;
  current_ = false;
  began_ = next_round_ = due_ = now;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Entry& entry = entries_[i];
    if (entry.state == State::kSuspect) move(static_cast<MemberId>(i), State::kAlive, entry.incarnation, now);
    entry.heard = false;
    entry.sent = static_cast<std::uint16_t>(tellings_);  // old news
  }
}

// The answers may lie unread in the socket: they get a direct timeout more, from now on.
void Membership::forgive_lateness(Time now) {
  const Duration late = now - due_;
  if (late <= settings_.direct) return;
  for (Probe& probe : probes_) {
    probe.direct += late + settings_.direct;
    probe.until += late + settings_.direct;
  }
  for (Entry& entry : entries_) {
    if (entry.state == State::kSuspect) entry.until += late;
  }
}

Membership::Step Membership::tick(Time now) {
  look_at_clock(now);
  forgive_lateness(now);
  end_probes(now);
  end_suspicions(now);
  if (now >= next_round_) round(now);
  return finish(now);
}

Membership::Step Membership::on(Time now, MemberId from, Incarnation incarnation, const Body& body,
                                const std::vector<Rumour>& rumours) {
  if (from >= entries_.size() || from == settings_.self) {
    ++figures_.strangers;
    return {};
  }
  look_at_clock(now);
  if (!possible(incarnation)) {
    ++figures_.ignored;
    return finish(now);
  }
  hear(from, incarnation, now);
  for (const Rumour& rumour : rumours) learn(rumour, now);
  if (const auto* ping = std::get_if<Ping>(&body)) {
    say(from, Ack{ping->number, settings_.self});
  } else if (const auto* ask = std::get_if<PingFor>(&body)) {
    relay(from, *ask, now);
  } else if (const auto* ack = std::get_if<Ack>(&body)) {
    answered(from, *ack);
  }
  return finish(now);
}

Membership::Step Membership::finish(Time now) {
  if (!current_) {
    const std::size_t majority = (held_ + 1) / 2;  // with ourselves, of those held and ourselves
    current_ = held_ > 0 ? heard_ >= std::min(kEnough, majority) && now >= began_ + 2 * settings_.period
                         : now >= began_ + settings_.alone_after;
  }
  due_ = next_round_;
  for (const Probe& probe : probes_) due_ = std::min(due_, probe.asked ? probe.until : probe.direct);
  for (const Entry& entry : entries_) {
    if (entry.state == State::kSuspect) due_ = std::min(due_, entry.until);
  }
  Step done = std::move(step_);
  step_ = {};
  return done;
}

void Membership::say(MemberId to, Body body) {
  if (credit_ < 1) {
    ++figures_.held_back;
    return;
  }
  credit_ -= 1;
  step_.send.push_back({to, std::move(body)});
}

// The next in order from `place` on, once round at the most.
template <class Which>
std::optional<MemberId> Membership::following(std::size_t& place, Which which) const {
  for (std::size_t i = 0; i < order_.size(); ++i) {
    place = (place + 1) % order_.size();
    if (which(entries_[order_[place]])) return order_[place];
  }
  return std::nullopt;
}

void Membership::round(Time now) {
  next_round_ += settings_.period;
  if (next_round_ <= now) next_round_ = now + settings_.period;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].state == State::kGone && entries_[i].until <= now) {
      move(static_cast<MemberId>(i), State::kUnknown, entries_[i].incarnation, now);
    }
  }
  // A place is left behind only by a probe, so each of those held has one in each pass.
  for (std::size_t looked = 0; looked < 2 * order_.size() && probes_.size() < kMostProbes; ++looked) {
    if (probe_at_ >= order_.size()) {
      probe_at_ = 0;
      std::shuffle(order_.begin(), order_.end(), random_);
    }
    const MemberId member = order_[probe_at_++];
    if (!is_held(entries_[member].state)) continue;
    ++figures_.probes;
    probes_.push_back(
        {member, next_number_, entries_[member].incarnation, now + settings_.direct, now + settings_.period});
    say(member, Ping{next_number_++});
    break;
  }
  // One whom we accuse hears of it at once, and its answer clears it with us, who spread the word.
  const auto accused = following(
      accuse_at_, [](const Entry& entry) { return entry.state == State::kSuspect && entry.accused; });
  if (accused) say(*accused, Ping{next_number_++});
  knock();
}

// Pings that prove nothing if they are not answered: they find who came back, where no probe goes.
void Membership::knock() {
  odd_round_ = !odd_round_;
  if (odd_round_) {
    const auto absent = following(knock_at_, [](const Entry& entry) { return !is_held(entry.state); });
    if (absent) say(*absent, Ping{next_number_++});
  }
  if (current_) return;
  std::optional<MemberId> first;
  for (int i = 0; i < settings_.hurry; ++i) {
    const auto unheard =
        following(hurry_at_, [](const Entry& entry) { return !entry.heard && entry.state != State::kGone; });
    if (!unheard || unheard == first) break;
    if (!first) first = unheard;
    say(*unheard, Ping{next_number_++});
  }
}

void Membership::end_probes(Time now) {
  for (Probe& probe : probes_) {
    if (probe.asked || probe.direct > now) continue;
    probe.asked = true;
    ++figures_.indirect;
    say(probe.member, Ping{probe.number});
    std::vector<MemberId> able;
    for (const MemberId member : order_) {
      if (member != probe.member && entries_[member].state == State::kAlive) able.push_back(member);
    }
    for (std::size_t i = 0;
         i < std::min<std::size_t>(able.size(), static_cast<std::size_t>(settings_.proxies)); ++i) {
      std::swap(able[i], able[i + random_() % (able.size() - i)]);
      say(able[i], PingFor{probe.number, probe.member});
    }
  }
  const auto over = std::stable_partition(probes_.begin(), probes_.end(),
                                          [&](const Probe& probe) { return probe.until > now; });
  for (auto probe = over; probe != probes_.end(); ++probe) {
    Entry& entry = entries_[probe->member];
    // Heard of anew meanwhile: the silence was another's.
    if (entry.state != State::kAlive || entry.incarnation != probe->incarnation) continue;
    ++figures_.suspicions;
    move(probe->member, State::kSuspect, entry.incarnation, now);
    entry.accused = true;
  }
  probes_.erase(over, probes_.end());
}

void Membership::end_suspicions(Time now) {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[i];
    if (entry.state == State::kSuspect && entry.until <= now) {
      move(static_cast<MemberId>(i), State::kGone, entry.incarnation, now);
    }
  }
}

void Membership::move(MemberId member, State state, Incarnation incarnation, Time now) {
  Entry& entry = entries_[member];
  if (state != entry.state) step_.changes.push_back({member, shown(entry.state), shown(state)});
  if (is_held(state) != is_held(entry.state)) is_held(state) ? ++held_ : --held_;
  entry.state = state;
  entry.incarnation = incarnation;
  entry.sent = 0;
  entry.accused = false;
  if (state == State::kSuspect) entry.until = now + span_;
  if (state == State::kGone) entry.until = now + settings_.forget;
}

void Membership::hear(MemberId from, Incarnation incarnation, Time now) {
  Entry& entry = entries_[from];
  if (incarnation > entry.incarnation) {
    // One that only refutes has a table.
    if (entry.state != State::kSuspect) entry.greet = true;
    move(from, State::kAlive, incarnation, now);
  }
  // It started with a clock behind its predecessor's; told so, it takes a higher one.
  entry.behind = incarnation < entry.incarnation;
}

void Membership::learn(const Rumour& rumour, Time now) {
  if (rumour.member >= entries_.size()) {
    ++figures_.strangers;
    return;
  }
  if (!possible(rumour.incarnation)) {
    ++figures_.ignored;
    return;
  }
  if (rumour.member == settings_.self) {
    if (rumour.incarnation < own_) {
      ++figures_.ignored;
    } else if (rumour.incarnation > own_ || rumour.state != MemberState::kAlive) {
      own_ = rumour.incarnation + 1;
      ++figures_.refutations;
    }
    return;
  }
  const Entry& entry = entries_[rumour.member];
  if (rumour.incarnation < entry.incarnation) {
    ++figures_.ignored;
    return;
  }
  const State said = rumour.state == MemberState::kAlive     ? State::kAlive
                     : rumour.state == MemberState::kSuspect ? State::kSuspect
                                                             : State::kGone;
  // Of one incarnation the worse word stands; the unknown that has one was gone.
  const State held = entry.state == State::kUnknown ? State::kGone : entry.state;
  if (rumour.incarnation > entry.incarnation || said > held)
    move(rumour.member, said, rumour.incarnation, now);
}

void Membership::relay(MemberId from, const PingFor& ask, Time now) {
  if (ask.about == settings_.self) {
    say(from, Ack{ask.number, settings_.self});
    return;
  }
  if (ask.about >= entries_.size() || ask.about == from) {
    ++figures_.strangers;
    return;
  }
  std::erase_if(relays_, [&](const Relay& relay) { return relay.until <= now; });
  if (relays_.size() >= kMostRelays) {
    ++figures_.held_back;
    return;
  }
  relays_.push_back({from, ask.about, next_number_, ask.number, now + settings_.period});
  say(ask.about, Ping{next_number_++});
}

void Membership::answered(MemberId from, const Ack& ack) {
  std::erase_if(probes_,
                [&](const Probe& probe) { return probe.number == ack.number && probe.member == ack.about; });
  if (ack.about != from) return;
  const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& each) {
    return each.number == ack.number && each.about == from;
  });
  if (relay != relays_.end()) {
    say(relay->asker, Ack{relay->askers, from});
    relays_.erase(relay);
  }
  Entry& entry = entries_[from];
  const bool ours = ack.number - since_ < next_number_ - since_;  // numbers may run over
  if (ours && !entry.heard) {
    entry.heard = true;
    ++heard_;
  }
}

std::vector<Rumour> Membership::rumours(MemberId to, std::size_t most) {
  std::vector<Rumour> out;
  if (to >= entries_.size() || to == settings_.self || most == 0) return out;
  const auto tell = [&](MemberId member) {
    const Entry& entry = entries_[member];
    out.push_back({member, entry.incarnation, shown(entry.state).value_or(MemberState::kGone)});
  };
  Entry& receiver = entries_[to];
  // What is held against it, so that it may refute: unknown with an incarnation was gone.
  if (receiver.incarnation > 0 && (receiver.state != State::kAlive || receiver.behind)) tell(to);
  const std::size_t room =
      receiver.greet ? most : std::min(most, static_cast<std::size_t>(settings_.rumours));
  receiver.greet = false;

  const std::size_t members = entries_.size();
  std::vector<MemberId> news;
  for (std::size_t i = 0; i < members; ++i) {
    const auto member = static_cast<MemberId>((tour_at_ + i) % members);
    const Entry& entry = entries_[member];
    if (member == to || member == settings_.self || entry.state == State::kUnknown) continue;
    if (entry.sent < tellings_) news.push_back(member);
  }
  std::stable_sort(news.begin(), news.end(),
                   [&](MemberId a, MemberId b) { return entries_[a].sent < entries_[b].sent; });
  if (news.size() > room - std::min(room, out.size())) news.resize(room - std::min(room, out.size()));
  for (const MemberId member : news) {
    tell(member);
    ++entries_[member].sent;
  }
  // The room that is left repairs what others missed. Who has just woken has nothing to repair with.
  for (std::size_t i = 0; current_ && i < members && out.size() < room; ++i) {
    const auto member = static_cast<MemberId>(tour_at_);
    tour_at_ = (tour_at_ + 1) % members;
    if (member == to || member == settings_.self || entries_[member].state == State::kUnknown) continue;
    if (std::find(news.begin(), news.end(), member) == news.end()) tell(member);
  }
  return out;
}

}  // namespace rookproxy::decide::fleet
