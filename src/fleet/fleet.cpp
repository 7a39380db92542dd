#include "fleet/fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <set>

#include "peers/proof.h"

namespace rookproxy {
namespace {

using namespace decide::fleet;

// A due time that has passed is taken up in the next turn, but never sooner than this: one that stays in the
// past must not keep a core busy.
constexpr Duration kLeastWait = std::chrono::milliseconds(1);

constexpr std::array<std::string_view, 3> kStandings = {"alone", "careful", "whole"};

FleetPlan settings_plan(std::uint32_t fingerprint) {
  FleetPlan plan;
  plan.fingerprint = fingerprint;
  return plan;
}

Incarnation incarnation_at(Time now) { return static_cast<Incarnation>(now.time_since_epoch().count()); }

// Another at each member and in each life, though operators give many processes the same one: the numbers of
// a life's questions must not be those of its predecessor.
std::uint64_t seed_of(std::uint64_t seed, MemberId self, Incarnation life) {
  const std::uint64_t all[] = {seed, self, life};
  return XXH3_64bits(all, sizeof all);
}

std::string list_of(const std::vector<std::string>& zones) {
  std::string text;
  for (const auto& zone : zones) text += (text.empty() ? "" : " ") + zone;
  return text;
}

}  // namespace

MembershipSettings membership_of(const FleetSettings& settings) {
  MembershipSettings of;
  of.self = settings.peers.self;
  of.members = settings.peers.peers.size();
  of.period = settings.period;
  of.direct = settings.period * 3 / 10;
  of.wake_after = 4 * settings.period;
  of.alone_after = 20 * settings.period;
  of.forget = 1200 * settings.period;
  of.messages = std::max(of.messages, static_cast<int>(std::chrono::seconds(32) / settings.period));
  if (const std::string fault = of.fault(); !fault.empty()) throw SettingsError("fleet: " + fault);
  return of;
}

Agreement::Settings agreement_of(const FleetSettings& settings, Incarnation life, std::uint64_t seed) {
  Agreement::Settings of;
  of.self = settings.peers.self;
  of.members = settings.peers.peers.size();
  of.life = life;
  of.seed = seed;
  of.lease_span = settings.lease;
  of.renew_every = settings.lease / 4;
  // A lease is renewed by an answer within ask_span, and once in that span at the most. A longer lease makes
  // no answer slower, so none of these grows with it.
  const auto at_most = [&](Duration& span, int part) { span = std::min(span, settings.lease / part); };
  at_most(of.ask_span, 8);
  at_most(of.round_span, 8);
  at_most(of.epoch_span, 8);
  at_most(of.ask_every, 8);
  at_most(of.most_ask_every, 1);
  at_most(of.takeover_pause, 20);
  at_most(of.close_after, 4);
  at_most(of.cold_wait, 2);
  at_most(of.backoff, 80);
  at_most(of.most_backoff, 5);
  return of;
}

std::uint32_t plan_fingerprint(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) text += name + '\n';
  return XXH32(text.data(), text.size(), 0);
}

Fleet::Fleet(Loop& loop, Log& log, FleetSettings settings, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      settings_(std::move(settings)),
      fingerprint_(plan_fingerprint(settings_.zones)),
      life_(incarnation_at(loop.now())),
      membership_(membership_of(settings_), life_, seed_of(seed, settings_.peers.self, life_), loop.now()),
      agreement_(agreement_of(settings_, life_, seed_of(seed, settings_.peers.self, life_)),
                 settings_plan(fingerprint_), loop.now()),
      socket_(
          loop, settings_.peers, life_, [this](const peers::Envelope& envelope) { hear(envelope); },
          [this](MemberId to, std::size_t room) { return membership_.rumours(to, room); }) {
  log_.line(Level::kNotice, "fleet", "one of a fleet",
            {{"members", std::to_string(settings_.peers.peers.size())},
             {"self", std::to_string(settings_.peers.self)},
             {"proof", settings_.peers.keys.empty() ? "none" : "HMAC-SHA256"}});
  wait();
}

Fleet::~Fleet() { loop_.cancel(timer_); }

Fleet::Standing Fleet::standing() const {
  const Time now = loop_.now();
  if (left_ || !membership_.is_current(now)) return Standing::kAlone;
  return agreement_.lease_holds(now) && reads_plan() ? Standing::kWhole : Standing::kCareful;
}

// Everything that was heard counts as its sender's sign of life; what is not membership's own is agreement's.
void Fleet::hear(const peers::Envelope& envelope) {
  if (left_) return;
  const Time now = loop_.now();
  carry_out(membership_.on(now, envelope.sender, envelope.incarnation, envelope.body, envelope.rumours));
  send(agreement_.receive(now, envelope.sender, envelope.incarnation, envelope.body));
  look();
  wait();
}

void Fleet::carry_out(Membership::Step step) {
  socket_.set_incarnation(membership_.incarnation());
  if (!step.changes.empty()) agreement_.set_hint(membership_.alive());
  for (const auto& change : step.changes) {
    const bool gone = change.after == MemberState::kGone;
    if (gone || change.before == MemberState::kGone) {
      log_.line(Level::kNotice, "fleet", gone ? "a member is gone" : "a member is back",
                {{"member", std::to_string(change.member)}});
    }
  }
  send(step.send);
}

void Fleet::send(const std::vector<Outgoing>& messages) {
  for (const auto& message : messages) socket_.send(message.to, message.body);
}

// Another list of zones is another meaning of the plan's numbers: it begins empty, and a majority takes it.
// Of two dispatchers with different lists each has its plan in force once, the later stays: the first gave
// way when it had seen its own.
void Fleet::propose_names() {
  if (!names_until_) return;
  const Time now = loop_.now();
  if (reads_plan()) return names_until_.reset();
  if (now >= *names_until_) {
    names_until_.reset();
    return log_.line(Level::kWarning, "fleet", "no majority took our zones; send SIGHUP once it is there",
                     {{"localities", list_of(settings_.zones)}});
  }
  if (!agreement_.votes() || !agreement_.in_majority(now) || agreement_.proposal() == Proposal::kOpen) return;
  FleetPlan next = settings_plan(fingerprint_);
  next.epoch = agreement_.epoch() + 1;
  std::vector<Outgoing> out;
  agreement_.propose(now, next, out);
  send(out);
}

void Fleet::turn() {
  if (left_) return;
  const Time now = loop_.now();
  carry_out(membership_.tick(now));
  send(agreement_.on_time(now));
  propose_names();
  look();
  wait();
}

// What operators are told of.
void Fleet::look() {
  if (const Standing now = standing(); now != said_) {
    said_ = now;
    log_.line(Level::kNotice, "fleet", "standing",
              {{"is", std::string(kStandings[static_cast<std::size_t>(now)])},
               {"epoch", std::to_string(agreement_.epoch())},
               {"alive", std::to_string(membership_.alive_count())}});
  }
  if (agreement_.epoch() != said_epoch_) {
    said_epoch_ = agreement_.epoch();
    if (reads_plan()) {
      log_.line(Level::kNotice, "fleet", "a plan is in force", {{"epoch", std::to_string(said_epoch_)}});
    } else {
      log_.line(
          Level::kWarning, "fleet",
          "a plan of other zones than ours is in force: set the same localities everywhere, then SIGHUP",
          {{"epoch", std::to_string(said_epoch_)}, {"localities", list_of(settings_.zones)}});
    }
  }
  const bool closed = !socket_.is_open();
  if (closed && !said_closed_ && !left_) {
    log_.line(
        Level::kWarning, "fleet", "peer_listen can't be bound yet; it is tried again",
        {{"address", settings_.peers.peer_listen.text()}, {"why", std::strerror(socket_.open_fault())}});
  }
  said_closed_ = closed;
}

void Fleet::wait() {
  loop_.cancel(timer_);
  if (left_) return;
  const Time due = std::min(membership_.next_due(), agreement_.due());
  timer_ = loop_.at(std::max(due, loop_.now() + kLeastWait), [this] { turn(); });
}

Fleet::Change Fleet::prepare(const FleetSettings& fresh) const {
  if (fresh.peers.peers != settings_.peers.peers || fresh.peers.self != settings_.peers.self ||
      fresh.peers.peer_listen != settings_.peers.peer_listen) {
    throw SettingsError(
        "peers: who the dispatchers of the fleet are is not changed in service; restart them");
  }
  if (fresh.period != settings_.period || fresh.lease != settings_.lease ||
      fresh.peers.bytes_per_second != settings_.peers.bytes_per_second) {
    throw SettingsError(
        "fleet: period_ms, lease_ms and bytes_per_second are not changed in service; restart the dispatcher");
  }
  return {fresh.zones, socket_.codec_with(fresh.peers.keys)};
}

void Fleet::take(Change change) {
  socket_.take_codec(std::move(change.codec));
  settings_.zones = std::move(change.zones);
  fingerprint_ = plan_fingerprint(settings_.zones);
  names_until_.reset();
  if (!reads_plan()) names_until_ = loop_.now() + names_span();
  propose_names();
  wait();
}

void Fleet::leave() {
  if (std::exchange(left_, true)) return;
  loop_.cancel(timer_);
  agreement_.retire();
  socket_.close();
  look();
}

std::vector<Fleet::Figure> Fleet::figures() const {
  const Time now = loop_.now();
  const auto& of_members = membership_.figures();
  const auto& of_plan = agreement_.figures();
  const auto& of_socket = socket_.figures();
  std::vector<Figure> all{
      {"fleet.members", settings_.peers.peers.size()},
      {"fleet.alive", membership_.alive_count()},
      {"fleet.current", membership_.is_current(now)},
      {"fleet.standing", static_cast<std::uint64_t>(standing())},
      {"fleet.majority", agreement_.in_majority(now)},
      {"fleet.votes", agreement_.votes()},
      {"fleet.epoch", agreement_.epoch()},
      {"fleet.reads_plan", reads_plan()},
      {"fleet.probes", of_members.probes},
      {"fleet.suspicions", of_members.suspicions},
      {"fleet.wakes", of_members.wakes},
      {"fleet.held_back", of_members.held_back},
      {"fleet.rounds", of_plan.rounds_begun},
      {"fleet.epochs", of_plan.epochs},
      {"fleet.votes_withheld", of_plan.votes_withheld},
      {"fleet.leases_renewed", of_plan.leases_renewed},
      {"fleet.leases_run_out", of_plan.leases_run_out},
      {"fleet.contradictions", of_plan.contradictions},
      {"fleet.sent", of_socket.sent},
      {"fleet.sent_bytes", of_socket.sent_bytes},
      {"fleet.received", of_socket.received},
      {"fleet.received_bytes", of_socket.received_bytes},
  };
  for (std::size_t i = 0; i < peers::kReasons; ++i) {  // those that happened
    if (of_socket.by_reason[i] > 0)
      all.emplace_back("fleet.dropped." + std::string(peers::kReasonNames[i]), of_socket.by_reason[i]);
  }
  return all;
}

}  // namespace rookproxy
