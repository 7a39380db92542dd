#include "cluster/runtime/fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <set>

#include "cluster/transport/proof.h"

namespace rookproxy {
namespace {

using namespace cluster;

// A due time that has passed is taken up in the next turn, but never sooner than this: one that stays in the
// past must not keep a core busy.
constexpr Duration kMinTimerDelay = std::chrono::milliseconds(1);

constexpr std::array<std::string_view, 3> kQuorumStateNames = {"alone", "careful", "whole"};

ClusterConfig initial_plan(std::uint32_t fingerprint) {
  ClusterConfig plan;
  plan.fingerprint = fingerprint;
  return plan;
}

Incarnation incarnation_at(Time now) { return static_cast<Incarnation>(now.time_since_epoch().count()); }

// Another at each member and in each life, though operators give many processes the same one: the numbers of
// a life's questions must not be those of its predecessor.
std::uint64_t derive_seed(std::uint64_t seed, MemberId self, Incarnation life) {
  const std::uint64_t all[] = {seed, self, life};
  return XXH3_64bits(all, sizeof all);
}

std::string join_names(const std::vector<std::string>& zones) {
  std::string text;
  for (const auto& zone : zones) text += (text.empty() ? "" : " ") + zone;
  return text;
}

}  // namespace

MembershipSettings make_membership_settings(const ClusterSettings& settings) {
  MembershipSettings of;
  of.self = settings.peers.self;
  of.member_count = settings.peers.members.size();
  of.probe_interval = settings.probe_interval;
  of.ping_timeout = settings.probe_interval * 3 / 10;
  of.stall_threshold = 4 * settings.probe_interval;
  of.isolation_timeout = 20 * settings.probe_interval;
  of.failed_member_retention = 1200 * settings.probe_interval;
  of.max_messages_per_second = std::max(of.max_messages_per_second,
                                        static_cast<int>(std::chrono::seconds(32) / settings.probe_interval));
  if (const auto fault = of.find_fault()) throw SettingsError("fleet: " + fault->text());
  return of;
}

ConsensusSettings make_consensus_settings(const ClusterSettings& settings, Incarnation life,
                                            std::uint64_t seed) {
  ConsensusSettings of;
  of.self = settings.peers.self;
  of.member_count = settings.peers.members.size();
  of.process_incarnation = life;
  of.seed = seed;
  of.lease_duration = settings.lease_duration;
  of.lease_renewal_interval = settings.lease_duration / 4;
  // A lease is renewed by an answer within ask_span, and once in that span at the most. A longer lease makes
  // no answer slower, so none of these grows with it.
  const auto at_most = [&](Duration& span, int part) {
    span = std::min(span, settings.lease_duration / part);
  };
  at_most(of.query_timeout, 8);
  at_most(of.proposal_timeout, 8);
  at_most(of.min_epoch_interval, 8);
  at_most(of.recovery_query_interval, 8);
  at_most(of.max_recovery_query_interval, 1);
  at_most(of.takeover_delay, 20);
  at_most(of.instance_close_delay, 4);
  at_most(of.bootstrap_delay, 2);
  at_most(of.initial_backoff, 80);
  at_most(of.max_backoff, 5);
  return of;
}

std::uint32_t plan_fingerprint(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) text += name + '\n';
  return XXH32(text.data(), text.size(), 0);
}

Cluster::Cluster(EventLoop& loop, Logger& log, ClusterSettings settings, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      settings_(std::move(settings)),
      own_fingerprint_(plan_fingerprint(settings_.zones)),
      process_incarnation_(incarnation_at(loop.now())),
      membership_(make_membership_settings(settings_), process_incarnation_,
                  derive_seed(seed, settings_.peers.self, process_incarnation_), loop.now()),
      consensus_(make_consensus_settings(settings_, process_incarnation_,
                                         derive_seed(seed, settings_.peers.self, process_incarnation_)),
                 initial_plan(own_fingerprint_), loop.now()),
      socket_(
          loop, settings_.peers, process_incarnation_,
          [this](const cluster::transport::Envelope& envelope) { on_message(envelope); },
          [this](MemberId to, std::size_t room) { return membership_.gossip_for(to, room); }) {
  log_.write(LogLevel::kNotice, "fleet", "one of a fleet",
             {{"members", std::to_string(settings_.peers.members.size())},
              {"self", std::to_string(settings_.peers.self)},
              {"proof", settings_.peers.keys.empty() ? "none" : "HMAC-SHA256"}});
  schedule_timer();
}

Cluster::~Cluster() { loop_.cancel(timer_); }

Cluster::QuorumState Cluster::quorum_state() const {
  const Time now = loop_.now();
  if (has_left_ || !membership_.is_current(now)) return QuorumState::kNoQuorum;
  return consensus_.lease_holds(now) && is_plan_readable() ? QuorumState::kLeaseHeld
                                                           : QuorumState::kLeaseExpired;
}

// Everything that was heard counts as its sender's sign of life; what is not membership's own is agreement's.
void Cluster::on_message(const cluster::transport::Envelope& envelope) {
  if (has_left_) return;
  const Time now = loop_.now();
  apply(membership_.receive(now, envelope.sender, envelope.incarnation, envelope.body, envelope.gossip));
  send(consensus_.receive(now, envelope.sender, envelope.incarnation, envelope.body));
  log_state_changes();
  schedule_timer();
}

void Cluster::apply(Membership::Result step) {
  socket_.set_incarnation(membership_.incarnation());
  if (!step.changes.empty()) consensus_.set_alive_members(membership_.alive_members());
  for (const auto& change : step.changes) {
    const bool gone = change.after == MemberState::kFailed;
    if (gone || change.before == MemberState::kFailed) {
      log_.write(LogLevel::kNotice, "fleet", gone ? "a member is gone" : "a member is back",
                 {{"member", std::to_string(change.member)}});
    }
  }
  send(step.messages);
}

void Cluster::send(const std::vector<OutgoingMessage>& messages) {
  for (const auto& message : messages) socket_.send(message.to, message.body);
}

// Another list of zones is another meaning of the plan's numbers: it begins empty, and a majority takes it.
// Of two dispatchers with different lists each has its plan in force once, the later stays: the first gave
// way when it had seen its own.
void Cluster::propose_zones() {
  if (!zone_proposal_deadline_) return;
  const Time now = loop_.now();
  if (is_plan_readable()) return zone_proposal_deadline_.reset();
  if (now >= *zone_proposal_deadline_) {
    zone_proposal_deadline_.reset();
    return log_.write(LogLevel::kWarning, "fleet", "no majority took our zones; send SIGHUP once it is there",
                      {{"localities", join_names(settings_.zones)}});
  }
  if (!consensus_.is_voting() || !consensus_.has_quorum(now) ||
      consensus_.proposal_state() == ProposalState::kInProgress)
    return;
  ClusterConfig next = initial_plan(own_fingerprint_);
  next.epoch = consensus_.epoch() + 1;
  send(consensus_.propose(now, next).messages);
}

void Cluster::on_timer() {
  if (has_left_) return;
  const Time now = loop_.now();
  apply(membership_.tick(now));
  send(consensus_.on_timer(now));
  propose_zones();
  log_state_changes();
  schedule_timer();
}

// What operators are told of.
void Cluster::log_state_changes() {
  if (const QuorumState now = quorum_state(); now != logged_state_) {
    logged_state_ = now;
    log_.write(LogLevel::kNotice, "fleet", "standing",
               {{"is", std::string(kQuorumStateNames[static_cast<std::size_t>(now)])},
                {"epoch", std::to_string(consensus_.epoch())},
                {"alive", std::to_string(membership_.alive_count())}});
  }
  if (consensus_.epoch() != logged_epoch_) {
    logged_epoch_ = consensus_.epoch();
    if (is_plan_readable()) {
      log_.write(LogLevel::kNotice, "fleet", "a plan is in force",
                 {{"epoch", std::to_string(logged_epoch_)}});
    } else {
      log_.write(
          LogLevel::kWarning, "fleet",
          "a plan of other zones than ours is in force: set the same localities everywhere, then SIGHUP",
          {{"epoch", std::to_string(logged_epoch_)}, {"localities", join_names(settings_.zones)}});
    }
  }
  const bool closed = !socket_.is_open();
  if (closed && !logged_closed_ && !has_left_) {
    log_.write(LogLevel::kWarning, "fleet", "peer_listen can't be bound yet; it is tried again",
               {{"address", settings_.peers.listen_address.to_string()},
                {"why", std::strerror(socket_.open_errno())}});
  }
  logged_closed_ = closed;
}

void Cluster::schedule_timer() {
  loop_.cancel(timer_);
  if (has_left_) return;
  const Time due = std::min(membership_.next_due(), consensus_.next_due());
  timer_ = loop_.run_at(std::max(due, loop_.now() + kMinTimerDelay), [this] { on_timer(); });
}

Cluster::PreparedReload Cluster::prepare_reload(const ClusterSettings& fresh) const {
  if (fresh.peers.members != settings_.peers.members || fresh.peers.self != settings_.peers.self ||
      fresh.peers.listen_address != settings_.peers.listen_address) {
    throw SettingsError(
        "peers: who the dispatchers of the fleet are is not changed in service; restart them");
  }
  if (fresh.probe_interval != settings_.probe_interval || fresh.lease_duration != settings_.lease_duration ||
      fresh.peers.bytes_per_second != settings_.peers.bytes_per_second) {
    throw SettingsError(
        "fleet: period_ms, lease_ms and bytes_per_second are not changed in service; restart the dispatcher");
  }
  return {fresh.zones, socket_.make_codec(fresh.peers.keys)};
}

void Cluster::apply_reload(PreparedReload change) {
  socket_.set_codec(std::move(change.codec));
  settings_.zones = std::move(change.zones);
  own_fingerprint_ = plan_fingerprint(settings_.zones);
  zone_proposal_deadline_.reset();
  if (!is_plan_readable()) zone_proposal_deadline_ = loop_.now() + zone_proposal_timeout();
  propose_zones();
  schedule_timer();
}

void Cluster::leave() {
  if (std::exchange(has_left_, true)) return;
  loop_.cancel(timer_);
  consensus_.retire();
  socket_.close();
  log_state_changes();
}

std::vector<Cluster::MetricValue> Cluster::metrics() const {
  const Time now = loop_.now();
  const auto& of_members = membership_.metrics();
  const auto& of_plan = consensus_.metrics();
  const auto& of_socket = socket_.metrics();
  std::vector<MetricValue> all{
      {"fleet.members", settings_.peers.members.size()},
      {"fleet.alive", membership_.alive_count()},
      {"fleet.current", membership_.is_current(now)},
      {"fleet.standing", static_cast<std::uint64_t>(quorum_state())},
      {"fleet.majority", consensus_.has_quorum(now)},
      {"fleet.votes", consensus_.is_voting()},
      {"fleet.epoch", consensus_.epoch()},
      {"fleet.reads_plan", is_plan_readable()},
      {"fleet.probes", of_members.probes},
      {"fleet.suspicions", of_members.suspicions},
      {"fleet.wakes", of_members.stalls},
      {"fleet.held_back", of_members.rate_limited},
      {"fleet.rounds", of_plan.proposals_started},
      {"fleet.epochs", of_plan.plans_learned},
      {"fleet.votes_withheld", of_plan.votes_withheld},
      {"fleet.leases_renewed", of_plan.leases_renewed},
      {"fleet.leases_run_out", of_plan.leases_expired},
      {"fleet.contradictions", of_plan.conflicting_plans},
      {"fleet.sent", of_socket.sent},
      {"fleet.sent_bytes", of_socket.sent_bytes},
      {"fleet.received", of_socket.received},
      {"fleet.received_bytes", of_socket.received_bytes},
  };
  for (std::size_t i = 0; i < cluster::transport::kDropReasonCount; ++i) {  // those that happened
    if (of_socket.dropped_by_reason[i] > 0)
      all.emplace_back("fleet.dropped." + std::string(cluster::transport::kDropReasonNames[i]),
                       of_socket.dropped_by_reason[i]);
  }
  return all;
}

}  // namespace rookproxy
