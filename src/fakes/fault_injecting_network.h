// A network between the nodes of a test that drops, delays, duplicates and reorders datagrams, and
// partitions, delays and resets connections, as determined by a seed and the test's rules.
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

// Proxies traffic between the nodes on 127.0.0.1, on ports that the kernel chooses. Every direction between
// two nodes has its own random number generator, so that the handling of its n-th datagram does not depend on
// other traffic. Must be used on the loop's thread only. Functions that open sockets throw std::system_error.
class FaultInjectingNetwork final : private LinkRules {
 public:
  // An action of a schedule.
  struct ScheduledAction {
    Duration delay_from_start;
    std::function<void(FaultInjectingNetwork&)> action;
  };

  // How long a datagram to be reordered is held for one that overtakes it.
  static constexpr Duration kReorderHoldTime = std::chrono::milliseconds(50);

  FaultInjectingNetwork(EventLoop& loop, std::uint64_t seed);
  ~FaultInjectingNetwork();
  FaultInjectingNetwork(const FaultInjectingNetwork&) = delete;
  FaultInjectingNetwork& operator=(const FaultInjectingNetwork&) = delete;

  // Returns the address at which other nodes reach the node's UDP socket. A datagram sent to it from a node's
  // real address arrives at this node's real address, with the proxy address of the sender as its source.
  SocketAddress proxy_address_of(NodeId node);

  // Sets the address of the node's UDP socket. To be called again after a restart on another port.
  void set_real_address(NodeId node, const SocketAddress& real);

  // Returns an address that reaches all other nodes, like the platform's `peers_all`.
  SocketAddress broadcast_address();

  // Returns an address at which `from` reaches `target`, a TCP listener of the node `to`. The rule from-to
  // applies to bytes sent to the target, and the rule to-from to bytes in the other direction.
  SocketAddress open_tcp_proxy(NodeId from, NodeId to, const SocketAddress& target);

  void set_rule(NodeId from, NodeId to, const LinkRule& rule);

  // Sets the rule of every direction without its own rule.
  void set_default_rule(const LinkRule& rule);

  // Starts or ends a partition between two nodes in both directions.
  void set_partitioned(NodeId one, NodeId other, bool is_partitioned = true);

  // Starts or ends a partition between all nodes of two groups.
  void partition_groups(const std::vector<NodeId>& group, const std::vector<NodeId>& other_group,
                        bool is_partitioned = true);

  // Resets both sides of the TCP connections from one node to the other.
  void reset_connections(NodeId from, NodeId to);

  // Runs the actions after their delays, starting from now.
  void run_schedule(std::vector<ScheduledAction> schedule);

  [[nodiscard]] const LinkStatistics& statistics(NodeId from, NodeId to);

  // Returns the number of datagrams from addresses that belong to no node.
  [[nodiscard]] std::uint64_t unknown_sender_datagrams() const { return unknown_sender_datagrams_; }

 private:
  struct DatagramPort;  // a UDP socket that represents one node or all nodes
  struct TcpListener;   // a TCP listener that represents a target

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
  // Indicates to tasks deferred to the loop whether the network still exists.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace rookproxy::test
