// What this dispatcher knows together with the others: who is there, and the plan that a majority holds.
// Joins the deciders of src/decide/fleet to the peers' socket and the loop's timers; decides nothing itself.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/consensus.h"
#include "cluster/membership.h"
#include "cluster/transport/socket.h"
#include "log/log.h"

namespace rookproxy {

struct ClusterSettings {
  cluster::transport::TransportSettings peers;
  Duration probe_interval = std::chrono::milliseconds(500);  // between two probes of members
  Duration lease_duration = std::chrono::seconds(4);  // of the plan's bold parts, without a majority's word
  // What the plan's numbers stand for: dispatchers with another list don't read them.
  std::vector<std::string> zones;
};

// The deciders' times, in proportion to `period` and `lease`: with 500 ms and 4 s they are their own
// defaults. Throws SettingsError.
cluster::MembershipSettings make_membership_settings(const ClusterSettings& settings);
cluster::ConsensusSettings make_consensus_settings(const ClusterSettings& settings,
                                                     cluster::Incarnation life, std::uint64_t seed);

// Of the names that the plan numbers by their places.
std::uint32_t plan_fingerprint(const std::vector<std::string>& names);

class Cluster {
 public:
  using MetricValue = std::pair<std::string, std::uint64_t>;

  // `seed`: of pauses and of the order of probes. Throws SettingsError.
  Cluster(EventLoop& loop, Logger& log, ClusterSettings settings, std::uint64_t seed);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // How far the plan may be acted on. Of itself a dispatcher that has started, or woken after a stall, knows
  // nothing that it may act on; one that hears no majority keeps the careful parts of the last plan alone.
  enum class QuorumState { kNoQuorum = 0, kLeaseExpired = 1, kLeaseHeld = 2 };
  QuorumState quorum_state() const;
  // The last plan known; its numbers mean nothing where `reads_plan` is false.
  const cluster::ClusterConfig& plan() const { return consensus_.plan(); }
  bool is_plan_readable() const { return plan().fingerprint == own_fingerprint_; }

  // The operator's file has changed. What may be turned down comes first (throws SettingsError); what is made
  // is taken whole later, and that throws nothing. Keys are taken at once. Other zones are an order to make a
  // plan with them, which a majority has to take: it is tried until a plan with them was seen in force, or
  // for `names_span`. Only this makes one; a process that starts with other zones than the fleet's does not,
  // since it may be the one with the old file.
  struct PreparedReload {
    std::vector<std::string> zones;
    cluster::transport::Codec codec;
  };
  PreparedReload prepare_reload(const ClusterSettings& fresh) const;
  void apply_reload(PreparedReload change);
  // Votes no more and gives up the address. A successor of this process binds it then, within 100 ms; without
  // one this process ends its drain as a silent member, which the others hold gone after a while.
  void leave();

  // As METRICS shows them, beginning with 'fleet.'.
  std::vector<MetricValue> metrics() const;

 private:
  void on_message(const cluster::transport::Envelope& envelope);
  void apply(cluster::Membership::Result step);
  void send(const std::vector<cluster::OutgoingMessage>& messages);
  void propose_zones();
  void on_timer();
  void log_state_changes();
  void schedule_timer();

  Duration zone_proposal_timeout() const { return 15 * settings_.lease_duration; }

  EventLoop& loop_;
  Logger& log_;
  ClusterSettings settings_;
  std::uint32_t own_fingerprint_;
  cluster::Incarnation process_incarnation_;
  cluster::Membership membership_;
  cluster::Consensus consensus_;
  cluster::transport::PeerSocket socket_;
  TimerId timer_{};
  QuorumState logged_state_ = QuorumState::kNoQuorum;
  std::uint32_t logged_epoch_ = 0;
  std::optional<Time> zone_proposal_deadline_;  // an order to put our zones in force stands
  bool has_left_ = false, logged_closed_ = false;
};

}  // namespace rookproxy
