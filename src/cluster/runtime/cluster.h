// What this dispatcher knows together with the others: which members are alive, and the plan that a majority
// holds. Joins Membership and Consensus to the peers' socket and the loop's timers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/consensus.h"
#include "cluster/membership.h"
#include "cluster/runtime/cluster_settings.h"
#include "cluster/transport/peer_socket.h"
#include "log/log.h"
#include "net/event_loop.h"

namespace rookproxy {

// This dispatcher's membership. Belongs to the thread of its event loop, which must outlive it, as must the
// logger.
class Cluster {
 public:
  using MetricValue = std::pair<std::string, std::uint64_t>;

  // How far the plan may be acted on. The values are those of the metric 'fleet.standing'.
  enum class QuorumState : std::uint8_t {
    kNoQuorum = 0,      // just started, stalled or left: knows nothing that it may act on
    kLeaseExpired = 1,  // no majority heard, or a plan of other zones: only conservative parts are in force
    kLeaseHeld = 2      // all of the plan is in force
  };

  // The configuration of a reload that was found valid.
  struct PreparedReload {
    std::vector<std::string> zones;
    cluster::transport::Codec codec;
  };

  // `seed`: of pauses and of the order of probes. Throws SettingsError.
  Cluster(EventLoop& loop, Logger& log, ClusterSettings settings, std::uint64_t seed);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  [[nodiscard]] QuorumState quorum_state() const;
  // The last plan learned; its numbers are meaningless unless is_plan_readable().
  [[nodiscard]] const cluster::ClusterConfig& plan() const { return consensus_.plan(); }
  // Whether the plan numbers the zones that are configured here.
  [[nodiscard]] bool is_plan_readable() const { return plan().fingerprint == own_fingerprint_; }

  // Checks a new configuration. Throws SettingsError if it can't be applied in service.
  [[nodiscard]] PreparedReload prepare_reload(const ClusterSettings& fresh) const;
  // Applies it as a whole, and can't fail. Keys are in force at once. Other zones make this dispatcher
  // propose a plan with them, until one was seen in force or a time limit is over. Only a reload does this: a
  // process that starts with other zones than the cluster's may be the one with an outdated file.
  void apply_reload(PreparedReload reload);
  // Votes no more and closes the socket. A successor of this process binds it within 100 ms. Without one,
  // this process ends its drain as a silent member, which the others consider failed after a while.
  void leave();

  // As METRICS shows them, with names that begin with 'fleet.'.
  [[nodiscard]] std::vector<MetricValue> metrics() const;

 private:
  void on_message(const cluster::transport::Envelope& envelope);
  void on_timer();
  void apply(const cluster::Membership::Result& result);
  void send(const std::vector<cluster::OutgoingMessage>& messages);
  void schedule_timer();

  void propose_zones();
  [[nodiscard]] Duration zone_proposal_timeout() const { return 15 * settings_.lease_duration; }

  void log_state_changes();
  void log_quorum_state();
  void log_epoch();
  void log_socket_state();

  EventLoop& loop_;
  Logger& log_;
  ClusterSettings settings_;
  std::uint32_t own_fingerprint_;  // of the configured zones
  cluster::Incarnation process_incarnation_;
  cluster::Membership membership_;
  cluster::Consensus consensus_;
  cluster::transport::PeerSocket socket_;
  TimerId timer_{};
  std::optional<Time> zone_proposal_deadline_;  // a plan with the configured zones is to be proposed
  bool has_left_ = false;
  // What was logged last.
  QuorumState logged_state_ = QuorumState::kNoQuorum;
  std::uint32_t logged_epoch_ = 0;
  bool logged_closed_ = false;
};

}  // namespace rookproxy
