/// A network between the nodes of a test that loses, delays, duplicates and reorders datagrams, and
/// partitions, delays and resets connections, as a seed and the test's rules say.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes/link_rule.h"
#include "fakes/proxied_connection.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

/// Stands between the nodes on 127.0.0.1, on ports that the kernel chooses. Every direction between two nodes
/// has random numbers of its own, so that the fate of its n-th datagram does not depend on what passes
/// elsewhere. Lives and is used on the loop's thread; functions that open sockets throw std::system_error.
class FaultInjectingNetwork final : private LinkRules {
 public:
  /// One step of a schedule.
  struct ScheduledAction {
    Duration delay_from_start;
    std::function<void(FaultInjectingNetwork&)> action;
  };

  /// How long a datagram that is to be reordered waits for one that overtakes it.
  static constexpr Duration kReorderHoldTime = std::chrono::milliseconds(50);

  FaultInjectingNetwork(EventLoop& loop, std::uint64_t seed);
  ~FaultInjectingNetwork();
  FaultInjectingNetwork(const FaultInjectingNetwork&) = delete;
  FaultInjectingNetwork& operator=(const FaultInjectingNetwork&) = delete;

  /// The address at which all others reach this node's UDP socket. What a node's real address sends there
  /// arrives at this node's real address, from the proxy address of the sender.
  SocketAddress proxy_address_of(NodeId node);

  /// Says where the node's UDP socket really is; again after it has restarted at another port.
  void set_real_address(NodeId node, const SocketAddress& real);

  /// An address that reaches all other nodes, as the platform's `peers_all`.
  SocketAddress broadcast_address();

  /// An address at which `from` reaches `target`, a TCP listener of the node `to`. Bytes to the target follow
  /// the rule from-to, bytes back the rule to-from.
  SocketAddress open_tcp_proxy(NodeId from, NodeId to, const SocketAddress& target);

  void set_rule(NodeId from, NodeId to, const LinkRule& rule);

  /// The rule of every direction that has none of its own.
  void set_default_rule(const LinkRule& rule);

  /// Partitions two nodes in both directions, or ends that.
  void set_partitioned(NodeId one, NodeId other, bool is_partitioned = true);

  /// Partitions all nodes of one group from all of the other, or ends that.
  void partition_groups(const std::vector<NodeId>& group, const std::vector<NodeId>& other_group,
                        bool is_partitioned = true);

  /// Resets the TCP connections from one node to the other, on both sides.
  void reset_connections(NodeId from, NodeId to);

  /// Runs these actions at their times, counted from now.
  void run_schedule(std::vector<ScheduledAction> schedule);

  [[nodiscard]] const LinkStatistics& statistics(NodeId from, NodeId to);

  /// Datagrams from an address that belongs to no node.
  [[nodiscard]] std::uint64_t unknown_sender_datagrams() const { return unknown_sender_datagrams_; }

 private:
  struct DatagramPort;  // a UDP socket that stands for a node, or for all
  struct TcpListener;   // a TCP listener that stands for a target

  [[nodiscard]] const LinkRule& rule_for(NodeId from, NodeId to) const override;
  LinkDirection& direction(NodeId from, NodeId to) override;
  void on_connection_closed(std::uint64_t id) override;

  [[nodiscard]] std::unique_ptr<DatagramPort> open_datagram_port();
  void receive_datagrams(const DatagramPort& port);
  void route_datagram(const DatagramPort& port, NodeId from, std::string_view bytes);
  void apply_rule(NodeId from, NodeId to, std::string_view bytes);
  void release_held_datagram(NodeId from, NodeId to);
  void forward_datagram(NodeId from, NodeId to, std::string bytes, Duration delay);
  void send_datagram(NodeId from, NodeId to, const std::string& bytes);
  void accept_connections(const TcpListener& listener);
  void resume_all_connections();
  void run_after(Duration delay, std::function<void()> task);

  EventLoop& loop_;
  std::uint64_t seed_;
  LinkRule default_rule_;
  std::map<NodeId, std::unique_ptr<DatagramPort>> ports_;
  std::unique_ptr<DatagramPort> broadcast_port_;
  std::map<SocketAddress, NodeId> nodes_by_real_address_;
  std::map<std::pair<NodeId, NodeId>, std::unique_ptr<LinkDirection>> directions_;
  std::vector<std::unique_ptr<TcpListener>> tcp_listeners_;
  std::map<std::uint64_t, std::unique_ptr<ProxiedConnection>> proxied_connections_;
  std::map<std::uint64_t, TimerId> timers_;
  std::uint64_t next_id_ = 1;
  std::uint64_t unknown_sender_datagrams_ = 0;
  // Tells tasks that were deferred to the loop whether the network still exists.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace rookproxy::test
