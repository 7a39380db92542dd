#include "cluster/runtime/cluster.h"
#include "net/event_loop.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>

namespace rookproxy {
namespace {

// The minimum delay of the timer, so that a due time that stays in the past does not cause a busy loop.
constexpr Duration kMinTimerDelay = std::chrono::milliseconds(1);

constexpr std::array<std::string_view, 3> kQuorumStateNames = {"no_quorum", "lease_expired", "lease_held"};

cluster::ClusterConfig initial_plan(std::uint32_t fingerprint) {
  cluster::ClusterConfig plan;
  plan.fingerprint = fingerprint;
  return plan;
}

cluster::Incarnation incarnation_at(Time now) {
  return static_cast<cluster::Incarnation>(now.time_since_epoch().count());
}

// Derives a seed that differs between members and between processes, even if all are configured with the same
// seed: a process must not use the query numbers of its predecessor.
std::uint64_t derive_seed(std::uint64_t seed, cluster::MemberId self, cluster::Incarnation incarnation) {
  const std::uint64_t parts[] = {seed, self, incarnation};
  return XXH3_64bits(parts, sizeof parts);
}

std::string join_names(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : " ") + name;
  return text;
}

}  // namespace

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
          [this](cluster::MemberId to, std::size_t limit) { return membership_.gossip_for(to, limit); }) {
  log_.write(LogLevel::kNotice, "cluster", "cluster membership started",
             {{"members", std::to_string(settings_.peers.members.size())},
              {"self", std::to_string(settings_.peers.self)},
              {"authentication", settings_.peers.keys.empty() ? "none" : "HMAC-SHA256"}});
  schedule_timer();
}

Cluster::~Cluster() { loop_.cancel(timer_); }

Cluster::QuorumState Cluster::quorum_state() const {
  const Time now = loop_.now();
  if (has_left_ || !membership_.is_current(now)) return QuorumState::kNoQuorum;
  const bool holds_lease = consensus_.lease_holds(now) && is_plan_readable();
  return holds_lease ? QuorumState::kLeaseHeld : QuorumState::kLeaseExpired;
}

// ---- Events -----------------------------------------------------------------------------------------------

// Every message proves to Membership that its sender is alive. Messages that are not Membership's are handled
// by Consensus.
void Cluster::on_message(const cluster::transport::Envelope& envelope) {
  if (has_left_) return;
  const Time now = loop_.now();
  apply(membership_.receive(now, envelope.sender, envelope.incarnation, envelope.body, envelope.gossip));
  send(consensus_.receive(now, envelope.sender, envelope.incarnation, envelope.body));
  log_state_changes();
  schedule_timer();
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

void Cluster::schedule_timer() {
  loop_.cancel(timer_);
  if (has_left_) return;
  const Time due = std::min(membership_.next_due(), consensus_.next_due());
  timer_ = loop_.run_at(std::max(due, loop_.now() + kMinTimerDelay), [this] { on_timer(); });
}

void Cluster::apply(const cluster::Membership::Result& result) {
  socket_.set_incarnation(membership_.incarnation());
  if (!result.changes.empty()) consensus_.set_alive_members(membership_.alive_members());
  for (const cluster::MemberChange& change : result.changes) {
    const bool has_failed = change.after == cluster::MemberState::kFailed;
    if (!has_failed && change.before != cluster::MemberState::kFailed) continue;
    log_.write(LogLevel::kNotice, "cluster", has_failed ? "member failed" : "member recovered",
               {{"member", std::to_string(change.member)}});
  }
  send(result.messages);
}

void Cluster::send(const std::vector<cluster::OutgoingMessage>& messages) {
  for (const cluster::OutgoingMessage& message : messages) socket_.send(message.to, message.body);
}

// Proposes an empty plan with the fingerprint of the configured zones, since the numbers in the plan have
// another meaning under a different list of zones. If two dispatchers with different lists propose, the later
// plan stays in force: a dispatcher stops proposing once it has seen its own plan in force.
void Cluster::propose_zones() {
  if (!zone_proposal_deadline_) return;
  if (is_plan_readable()) {
    zone_proposal_deadline_.reset();
    return;
  }
  const Time now = loop_.now();
  if (now >= *zone_proposal_deadline_) {
    zone_proposal_deadline_.reset();
    log_.write(LogLevel::kWarning, "cluster",
               "no majority accepted the configured zones in time; send SIGHUP once a majority is reachable",
               {{"localities", join_names(settings_.zones)}});
    return;
  }
  const bool is_in_progress = consensus_.proposal_state() == cluster::ProposalState::kInProgress;
  if (!consensus_.is_voting() || !consensus_.has_quorum(now) || is_in_progress) return;
  cluster::ClusterConfig next = initial_plan(own_fingerprint_);
  next.epoch = consensus_.epoch() + 1;
  send(consensus_.propose(now, next).messages);
}

// ---- Log --------------------------------------------------------------------------------------------------

void Cluster::log_state_changes() {
  log_quorum_state();
  log_epoch();
  log_socket_state();
}

void Cluster::log_quorum_state() {
  const QuorumState state = quorum_state();
  if (state == logged_state_) return;
  logged_state_ = state;
  log_.write(LogLevel::kNotice, "cluster", "quorum state changed",
             {{"state", std::string(kQuorumStateNames[static_cast<std::size_t>(state)])},
              {"epoch", std::to_string(consensus_.epoch())},
              {"alive", std::to_string(membership_.alive_count())}});
}

void Cluster::log_epoch() {
  if (consensus_.epoch() == logged_epoch_) return;
  logged_epoch_ = consensus_.epoch();
  if (is_plan_readable()) {
    log_.write(LogLevel::kNotice, "cluster", "plan in force", {{"epoch", std::to_string(logged_epoch_)}});
    return;
  }
  log_.write(
      LogLevel::kWarning, "cluster",
      "the plan in force has other zones: set the same localities on all dispatchers, then send SIGHUP",
      {{"epoch", std::to_string(logged_epoch_)}, {"localities", join_names(settings_.zones)}});
}

void Cluster::log_socket_state() {
  const bool is_closed = !socket_.is_open();
  if (is_closed && !logged_closed_ && !has_left_) {
    log_.write(LogLevel::kWarning, "cluster", "peer_listen can't be bound yet; retrying every 100 ms",
               {{"address", settings_.peers.listen_address.to_string()},
                {"why", std::strerror(socket_.open_errno())}});
  }
  logged_closed_ = is_closed;
}

// ---- Reload and shutdown ----------------------------------------------------------------------------------

Cluster::PreparedReload Cluster::prepare_reload(const ClusterSettings& updated) const {
  const auto& current = settings_.peers;
  if (updated.peers.members != current.members || updated.peers.self != current.self ||
      updated.peers.listen_address != current.listen_address) {
    throw SettingsError(
        "peers: the list of dispatchers can't be changed by a reload; restart the dispatchers");
  }
  if (updated.probe_interval != settings_.probe_interval ||
      updated.lease_duration != settings_.lease_duration ||
      updated.peers.bytes_per_second != current.bytes_per_second) {
    throw SettingsError(
        "fleet: period_ms, lease_ms and bytes_per_second can't be changed by a reload; restart the "
        "dispatcher");
  }
  return {updated.zones, socket_.make_codec(updated.peers.keys)};
}

void Cluster::apply_reload(PreparedReload reload) {
  socket_.set_codec(std::move(reload.codec));
  settings_.zones = std::move(reload.zones);
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

// ---- Metrics ----------------------------------------------------------------------------------------------

std::vector<Cluster::MetricValue> Cluster::metrics() const {
  const Time now = loop_.now();
  const cluster::MembershipMetrics membership = membership_.metrics();
  const cluster::ConsensusMetrics& consensus = consensus_.metrics();
  const cluster::transport::TransportMetrics& transport = socket_.metrics();
  std::vector<MetricValue> values{
      {"fleet.members", settings_.peers.members.size()},
      {"fleet.alive", membership_.alive_count()},
      {"fleet.current", membership_.is_current(now)},
      {"fleet.standing", static_cast<std::uint64_t>(quorum_state())},
      {"fleet.majority", consensus_.has_quorum(now)},
      {"fleet.votes", consensus_.is_voting()},
      {"fleet.epoch", consensus_.epoch()},
      {"fleet.reads_plan", is_plan_readable()},
      {"fleet.probes", membership.probes},
      {"fleet.suspicions", membership.suspicions},
      {"fleet.wakes", membership.stalls},
      {"fleet.held_back", membership.rate_limited},
      {"fleet.rounds", consensus.proposals_started},
      {"fleet.epochs", consensus.plans_learned},
      {"fleet.votes_withheld", consensus.votes_withheld},
      {"fleet.leases_renewed", consensus.leases_renewed},
      {"fleet.leases_run_out", consensus.leases_expired},
      {"fleet.contradictions", consensus.conflicting_plans},
      {"fleet.sent", transport.sent},
      {"fleet.sent_bytes", transport.sent_bytes},
      {"fleet.received", transport.received},
      {"fleet.received_bytes", transport.received_bytes},
  };
  for (const auto& info : cluster::transport::kDropReasons) {  // Only reasons that have occurred are listed.
    const std::uint64_t count = transport.count(info.reason);
    if (count > 0) values.emplace_back("fleet.dropped." + std::string(info.metric_name), count);
  }
  return values;
}

}  // namespace rookproxy
