// This dispatcher's part in the cluster: connects Membership and Consensus to the peer socket and to the
// timers of the event loop.
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

// One member of the cluster. Must be used only in the thread of its event loop. The event loop and the logger
// must outlive it.
class Cluster {
 public:
  using MetricValue = std::pair<std::string, std::uint64_t>;

  // Which parts of the plan may be applied. The values are those of the metric 'fleet.standing'.
  enum class QuorumState : std::uint8_t {
    kNoQuorum = 0,      // Just started, stalled or left: no part may be applied.
    kLeaseExpired = 1,  // No majority responds, or the zones differ: only conservative parts apply.
    kLeaseHeld = 2      // All parts apply.
  };

  // A reloaded configuration that was found valid.
  struct PreparedReload {
    std::vector<std::string> zones;
    cluster::transport::Codec codec;
  };

  // `seed`: the seed of jitter and of the order of probes. Throws SettingsError.
  Cluster(EventLoop& loop, Logger& log, ClusterSettings settings, std::uint64_t seed);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  [[nodiscard]] QuorumState quorum_state() const;
  // The last plan learned. Its zone and site numbers are meaningless unless is_plan_readable().
  [[nodiscard]] const cluster::ClusterConfig& plan() const { return consensus_.plan(); }
  // Whether the numbers in the plan refer to the zones that are configured here.
  [[nodiscard]] bool is_plan_readable() const { return plan().fingerprint == own_fingerprint_; }

  // Checks a new configuration. Throws SettingsError if it can't be applied without a restart.
  [[nodiscard]] PreparedReload prepare_reload(const ClusterSettings& updated) const;
  // Applies the configuration as a whole; can't fail. Keys take effect at once. If the zones differ from the
  // plan's, this dispatcher proposes a plan with the new zones until it is in force or a time limit has
  // passed. Only a reload does this, since a process that starts with other zones may have an outdated file.
  void apply_reload(PreparedReload reload);
  // Stops voting and closes the socket. A successor process binds the port within 100 ms. Without a
  // successor, the other members consider this one failed after the suspicion timeout.
  void leave();

  // The metrics that METRICS lists, with names that begin with 'fleet.'.
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
  std::uint32_t own_fingerprint_;  // The fingerprint of the configured zones.
  cluster::Incarnation process_incarnation_;
  cluster::Membership membership_;
  cluster::Consensus consensus_;
  cluster::transport::PeerSocket socket_;
  TimerId timer_{};
  std::optional<Time> zone_proposal_deadline_;  // Set while a plan with the configured zones is proposed.
  bool has_left_ = false;
  // The states that were logged last.
  QuorumState logged_state_ = QuorumState::kNoQuorum;
  std::uint32_t logged_epoch_ = 0;
  bool logged_closed_ = false;
};

}  // namespace rookproxy
