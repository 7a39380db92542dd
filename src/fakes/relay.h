// A network between stand-ins that loses, delays, doubles and swaps datagrams, and cuts, holds and resets
// connections, one way or both, as a seed and a script say.
#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "net/event_loop.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// One way from one node to another. Parts are of 0 to 1.
struct LinkRule {
  bool is_partitioned =
      false;  // datagrams are lost; a connection's bytes wait in it until it is not cut any more
  double loss_probability = 0;       // datagrams
  double duplicate_probability = 0;  // datagrams
  double reorder_probability =
      0;  // datagrams held back until the next one that way has passed, or for kSwapWait
  Duration min_delay{}, max_delay{};  // delay, drawn evenly; a connection's bytes keep their order
};

struct LinkStatistics {
  std::uint64_t datagrams_received = 0, datagrams_forwarded = 0, datagrams_dropped = 0,
                datagrams_duplicated = 0, datagrams_reordered = 0;  // datagrams
  std::uint64_t connections_opened = 0, bytes_forwarded = 0;        // opened that way; passed that way
  bool operator==(const LinkStatistics&) const = default;
};

// On 127.0.0.1, on ports that the kernel chooses. Every way has dice of its own, thrown a fixed number of
// times for each datagram that comes that way: what becomes of the n-th one depends on the seed and the rule
// alone, not on what passes elsewhere.
class FaultInjectingNetwork {
 public:
  using Node = std::uint32_t;
  struct ScheduledAction {
    Duration delay_from_start;  // the playing's start
    std::function<void(FaultInjectingNetwork&)> action;
  };
  static constexpr Duration kReorderHoldTime = std::chrono::milliseconds(50);

  FaultInjectingNetwork(EventLoop& loop, std::uint64_t seed);
  ~FaultInjectingNetwork();
  FaultInjectingNetwork(const FaultInjectingNetwork&) = delete;
  FaultInjectingNetwork& operator=(const FaultInjectingNetwork&) = delete;

  // The address that stands for this node's UDP socket to all others: what is sent there from another's real
  // address reaches this node's real one, from the address that stands for the sender.
  SocketAddress proxy_address_of(Node node);
  // That address's other side, once it is known, and again after a restart elsewhere.
  void set_real_address(Node node, const SocketAddress& real);
  // An address that reaches all others, as the platform's `peers_all`.
  SocketAddress broadcast_address();
  // An address at which `from` reaches `target`, a TCP listener of node `to`. What goes out is under the rule
  // from-to, what comes back under the rule to-from.
  SocketAddress open_tcp_proxy(Node from, Node to, const SocketAddress& target);

  void set_rule(Node from, Node to, const LinkRule& rule);
  // Of every way that has no rule of its own.
  void set_default_rule(const LinkRule& rule);
  // Both ways between the two, or between the two sides.
  void set_partitioned(Node one, Node other, bool is_cut = true);
  void partition_groups(const std::vector<Node>& side, const std::vector<Node>& other, bool is_parted = true);
  // Ends the TCP connections from one to the other by a reset, on both sides.
  void reset_connections(Node from, Node to);
  // Runs a script's steps at their times from now on.
  void run_schedule(std::vector<ScheduledAction> script);

  const LinkStatistics& statistics(Node from, Node to);
  std::uint64_t unknown_sender_datagrams() const {
    return unknown_sender_datagrams_;
  }  // datagrams from an address that is no node's

 private:
  struct DatagramPort;       // a UDP socket that stands for a node, or for all
  struct Direction;          // from one node to another
  struct TcpListener;        // a TCP listener that stands for a target
  struct ProxiedConnection;  // a TCP connection through a gate
  Direction& direction(Node from, Node to);
  const LinkRule& rule_for(Node from, Node to) const;
  void receive_datagrams(const DatagramPort& door);
  void apply_rule(Node from, Node to, std::string_view bytes);
  void forward_datagram(Node from, Node to, std::string bytes, Duration late);
  void release_held_datagram(Node from, Node to);
  void accept_connections(TcpListener& gate);
  void forward_bytes(ProxiedConnection& wire);
  void forward_bytes_from(ProxiedConnection& wire, int side);
  void close_connection(ProxiedConnection& wire, bool by_reset);
  void resume_all_connections();
  void run_after(Duration wait, std::function<void()> task);

  EventLoop& loop_;
  std::uint64_t seed_;
  LinkRule default_rule_;
  std::map<Node, std::unique_ptr<DatagramPort>> ports_;
  std::unique_ptr<DatagramPort> broadcast_port_;
  std::map<SocketAddress, Node> nodes_by_real_address_;  // by real address
  std::map<std::pair<Node, Node>, std::unique_ptr<Direction>> directions_;
  std::vector<std::unique_ptr<TcpListener>> tcp_listeners_;
  std::map<std::uint64_t, std::unique_ptr<ProxiedConnection>> proxied_connections_;
  std::map<std::uint64_t, TimerId> timers_;
  std::uint64_t next_id_ = 1, unknown_sender_datagrams_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A relay on a loop and a thread of its own.
class FaultInjectingNetworkThread {
 public:
  explicit FaultInjectingNetworkThread(std::uint64_t seed);
  ~FaultInjectingNetworkThread();
  // Does it on the relay's thread, and waits until it is done.
  template <class Act>
  auto run_on_thread(Act act) {
    std::packaged_task<decltype(act(std::declval<FaultInjectingNetwork&>()))()> task(
        [this, &act] { return act(*network_); });
    auto done = task.get_future();
    post([&task] { task(); });
    return done.get();
  }

 private:
  struct WakeupEvent;
  void post(std::function<void()> task);
  void run(std::uint64_t seed, std::promise<void>& ready);
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  std::unique_ptr<WakeupEvent> wakeup_;
  FaultInjectingNetwork* network_ = nullptr;  // of the thread
  std::thread thread_;
};

}  // namespace rookproxy::test
