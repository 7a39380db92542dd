#include "fakes/fault_injecting_network.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <optional>
#include <system_error>

#include "fakes/fd_callback.h"
#include "fakes/link_direction.h"
#include "fakes/sockets.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {
namespace {

constexpr std::size_t kMaxDatagramSize = 64 * 1024;

FileDescriptor require_open(FileDescriptor fd, const char* what) {
  if (!fd) throw std::system_error(errno, std::generic_category(), what);
  return fd;
}

}  // namespace

struct FaultInjectingNetwork::DatagramPort {
  FileDescriptor fd;
  std::optional<NodeId> node;  // nothing if it represents all nodes
  std::optional<SocketAddress> real_address;
  std::unique_ptr<FdCallback> callback;
};

struct FaultInjectingNetwork::TcpListener {
  ProxiedConnection::Route route;
  FileDescriptor fd;
  std::unique_ptr<FdCallback> callback;
};

FaultInjectingNetwork::FaultInjectingNetwork(EventLoop& loop, std::uint64_t seed)
    : loop_(loop), seed_(seed) {}

FaultInjectingNetwork::~FaultInjectingNetwork() {
  *is_alive_ = false;
  for (auto& [id, timer] : timers_) loop_.cancel(timer);
}

void FaultInjectingNetwork::run_after(Duration delay, std::function<void()> task) {
  const std::uint64_t id = next_id_++;
  timers_[id] = loop_.run_at(loop_.now() + delay, [this, id, task = std::move(task)] {
    const auto task_to_run = task;  // the timer's copy may be destroyed with its entry
    timers_.erase(id);
    task_to_run();
  });
}

void FaultInjectingNetwork::run_schedule(std::vector<ScheduledAction> schedule) {
  for (ScheduledAction& step : schedule) {
    run_after(step.delay_from_start, [this, action = std::move(step.action)] { action(*this); });
  }
}

LinkDirection& FaultInjectingNetwork::direction(NodeId from, NodeId to) {
  std::unique_ptr<LinkDirection>& direction = directions_[{from, to}];
  if (!direction) direction = std::make_unique<LinkDirection>(seed_, from, to);
  return *direction;
}

const LinkRule& FaultInjectingNetwork::rule_for(NodeId from, NodeId to) const {
  const auto found = directions_.find({from, to});
  if (found == directions_.end() || !found->second->own_rule) return default_rule_;
  return *found->second->own_rule;
}

void FaultInjectingNetwork::set_rule(NodeId from, NodeId to, const LinkRule& rule) {
  direction(from, to).own_rule = rule;
  resume_all_connections();
}

void FaultInjectingNetwork::set_default_rule(const LinkRule& rule) {
  default_rule_ = rule;
  resume_all_connections();
}

void FaultInjectingNetwork::set_partitioned(NodeId one, NodeId other, bool is_partitioned) {
  for (const auto& [from, to] : {std::pair(one, other), std::pair(other, one)}) {
    LinkRule changed = rule_for(from, to);
    changed.is_partitioned = is_partitioned;
    set_rule(from, to, changed);
  }
}

void FaultInjectingNetwork::partition_groups(const std::vector<NodeId>& group,
                                             const std::vector<NodeId>& other_group, bool is_partitioned) {
  for (const NodeId one : group) {
    for (const NodeId other : other_group) set_partitioned(one, other, is_partitioned);
  }
}

const LinkStatistics& FaultInjectingNetwork::statistics(NodeId from, NodeId to) {
  return direction(from, to).statistics;
}

std::unique_ptr<FaultInjectingNetwork::DatagramPort> FaultInjectingNetwork::open_datagram_port() {
  auto port = std::make_unique<DatagramPort>();
  port->fd =
      require_open(bind_udp(kAnyLoopbackPort), "failed to open a UDP port of the fault-injecting network");
  port->callback = std::make_unique<FdCallback>(loop_, port->fd.get(),
                                                [this, opened = port.get()] { receive_datagrams(*opened); });
  return port;
}

SocketAddress FaultInjectingNetwork::proxy_address_of(NodeId node) {
  std::unique_ptr<DatagramPort>& port = ports_[node];
  if (!port) {
    port = open_datagram_port();
    port->node = node;
  }
  return {kLoopbackAddress, local_port(port->fd)};
}

SocketAddress FaultInjectingNetwork::broadcast_address() {
  if (!broadcast_port_) broadcast_port_ = open_datagram_port();
  return {kLoopbackAddress, local_port(broadcast_port_->fd)};
}

void FaultInjectingNetwork::set_real_address(NodeId node, const SocketAddress& real) {
  proxy_address_of(node);
  DatagramPort& port = *ports_[node];
  if (port.real_address) nodes_by_real_address_.erase(*port.real_address);
  port.real_address = real;
  nodes_by_real_address_[real] = node;
}

void FaultInjectingNetwork::receive_datagrams(const DatagramPort& port) {
  std::array<char, kMaxDatagramSize> bytes;
  for (;;) {
    sockaddr_in sender{};
    socklen_t sender_size = sizeof sender;
    const ssize_t received = ::recvfrom(port.fd.get(), bytes.data(), bytes.size(), 0,
                                        reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (received < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      continue;
    }
    const auto from = nodes_by_real_address_.find(SocketAddress::from_sockaddr(sender));
    if (from == nodes_by_real_address_.end()) {
      ++unknown_sender_datagrams_;
      continue;
    }
    route_datagram(port, from->second, {bytes.data(), static_cast<std::size_t>(received)});
  }
}

void FaultInjectingNetwork::route_datagram(const DatagramPort& port, NodeId from, std::string_view bytes) {
  if (port.node) return apply_rule(from, *port.node, bytes);
  for (const auto& [node, other_port] : ports_) {
    if (node != from) apply_rule(from, node, bytes);
  }
}

void FaultInjectingNetwork::apply_rule(NodeId from, NodeId to, std::string_view bytes) {
  LinkDirection& link = direction(from, to);
  ++link.statistics.datagrams_received;
  const DatagramFaults faults = link.draw_datagram_faults(rule_for(from, to));
  if (faults.is_dropped) {
    ++link.statistics.datagrams_dropped;
    return;
  }
  if (faults.is_reordered && !link.held_datagram) {
    ++link.statistics.datagrams_reordered;
    link.held_datagram = std::string(bytes);
    return run_after(kReorderHoldTime, [this, from, to] { release_held_datagram(from, to); });
  }
  forward_datagram(from, to, std::string(bytes), faults.delay);
  if (faults.is_duplicated) {
    ++link.statistics.datagrams_duplicated;
    forward_datagram(from, to, std::string(bytes), faults.duplicate_delay);
  }
  release_held_datagram(from, to);
}

void FaultInjectingNetwork::release_held_datagram(NodeId from, NodeId to) {
  LinkDirection& link = direction(from, to);
  if (!link.held_datagram) return;
  const std::string bytes = *std::exchange(link.held_datagram, std::nullopt);
  forward_datagram(from, to, bytes, rule_for(from, to).min_delay);
}

void FaultInjectingNetwork::forward_datagram(NodeId from, NodeId to, std::string bytes, Duration delay) {
  if (delay <= Duration(0)) return send_datagram(from, to, bytes);
  run_after(delay, [this, from, to, bytes = std::move(bytes)] { send_datagram(from, to, bytes); });
}

void FaultInjectingNetwork::send_datagram(NodeId from, NodeId to, const std::string& bytes) {
  const auto sender = ports_.find(from);
  const auto receiver = ports_.find(to);
  if (sender == ports_.end() || receiver == ports_.end() || !receiver->second->real_address) return;
  const sockaddr_in address = receiver->second->real_address->to_sockaddr();
  ++direction(from, to).statistics.datagrams_forwarded;
  ::sendto(sender->second->fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

SocketAddress FaultInjectingNetwork::open_tcp_proxy(NodeId from, NodeId to, const SocketAddress& target) {
  TcpListener& listener = *tcp_listeners_.emplace_back(std::make_unique<TcpListener>());
  listener.route = {from, to, target};
  listener.fd =
      require_open(listen_tcp(kAnyLoopbackPort), "failed to open a TCP port of the fault-injecting network");
  listener.callback = std::make_unique<FdCallback>(loop_, listener.fd.get(),
                                                   [this, &listener] { accept_connections(listener); });
  return {kLoopbackAddress, local_port(listener.fd)};
}

void FaultInjectingNetwork::accept_connections(const TcpListener& listener) {
  LinkRules& rules = *this;
  while (FileDescriptor fd = accept_connection(listener.fd)) {
    const std::uint64_t id = next_id_++;
    auto& connection = proxied_connections_[id];
    connection = std::make_unique<ProxiedConnection>(loop_, rules, id, listener.route, std::move(fd));
    ++direction(listener.route.client, listener.route.target).statistics.connections_opened;
    connection->forward_bytes();
  }
}

void FaultInjectingNetwork::on_connection_closed(std::uint64_t id) {
  loop_.defer([this, is_alive = is_alive_, id] {
    if (*is_alive) proxied_connections_.erase(id);
  });
}

void FaultInjectingNetwork::reset_connections(NodeId from, NodeId to) {
  for (const auto& [id, connection] : proxied_connections_) {
    const ProxiedConnection::Route& route = connection->route();
    if (route.client == from && route.target == to) connection->reset();
  }
}

void FaultInjectingNetwork::resume_all_connections() {
  for (const auto& [id, connection] : proxied_connections_) connection->forward_bytes();
}

}  // namespace rookproxy::test
