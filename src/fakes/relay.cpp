#include "fakes/relay.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/socket_address.h"
#include "net/sockets.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <optional>
#include <stdexcept>
#include <system_error>

namespace rookproxy::test {
namespace {

constexpr SocketAddress kAnyLoopbackPort{0x7f000001, 0};
constexpr std::size_t kMaxBufferedBytes = 1 << 20;             // bytes a flow keeps before it stops reading
constexpr std::size_t kMaxBytesReadPerIteration = 256 * 1024;  // bytes a flow reads a turn

FileDescriptor checked(FileDescriptor fd, const char* what) {
  if (!fd) throw std::system_error(errno, std::generic_category(), what);
  return fd;
}

// What is called when a descriptor is ready.
struct FdCallback final : EventHandler {
  FdCallback(EventLoop& on, int number, std::function<void()> what)
      : loop(on), fd(number), act(std::move(what)), key(on.watch(number, *this)) {}
  ~FdCallback() { stop(); }
  FdCallback(const FdCallback&) = delete;
  FdCallback& operator=(const FdCallback&) = delete;
  void on_ready(std::uint32_t) override { act(); }
  // Before its descriptor is closed. It may be in the middle of the call, and so is destroyed only later.
  void stop() { loop.unwatch(std::exchange(key, 0), fd); }
  EventLoop& loop;
  int fd;
  std::function<void()> act;
  SlotKey key;
};

}  // namespace

struct FaultInjectingNetwork::DatagramPort {
  FileDescriptor fd;
  std::optional<Node> node;  // none: it stands for all
  std::optional<SocketAddress> real;
  std::unique_ptr<FdCallback> call;
};

struct FaultInjectingNetwork::Direction {
  std::optional<LinkRule> rule;
  std::mt19937_64 random_engine;
  std::optional<std::string> held_datagram;  // to be swapped with the next
  LinkStatistics count;
  double next_uniform() { return static_cast<double>(random_engine() >> 11) * 0x1p-53; }
};

struct FaultInjectingNetwork::TcpListener {
  Node from, to;
  SocketAddress target;
  FileDescriptor listener;
  std::unique_ptr<FdCallback> call;
};

struct FaultInjectingNetwork::ProxiedConnection {
  struct Segment {
    Time due_at;
    std::string bytes;  // none: the end
  };
  // Side 0 is who connected, side 1 the target. What comes from a side waits in its queue, in its order.
  struct Side {
    Node node = 0;
    FileDescriptor fd;
    std::unique_ptr<FdCallback> call;
    std::deque<Segment> queue;
    std::size_t queued_bytes = 0,
                bytes_sent_of_first_segment = 0;  // bytes; those of the first piece that have left
    bool read_closed = false, write_closed = false, has_timer = false;
  };
  std::uint64_t id = 0;
  SocketAddress target;
  Side sides[2];
  bool is_closed = false;
};

FaultInjectingNetwork::FaultInjectingNetwork(EventLoop& loop, std::uint64_t seed)
    : loop_(loop), seed_(seed) {}

FaultInjectingNetwork::~FaultInjectingNetwork() {
  *alive_ = false;
  for (auto& [id, key] : timers_) loop_.cancel(key);
}

void FaultInjectingNetwork::run_after(Duration wait, std::function<void()> task) {
  const std::uint64_t id = next_id_++;
  timers_[id] = loop_.run_at(loop_.now() + wait, [this, id, task = std::move(task)] {
    const auto mine = task;  // the timer's own copy may go with its entry
    timers_.erase(id);
    mine();
  });
}

void FaultInjectingNetwork::run_schedule(std::vector<ScheduledAction> script) {
  for (auto& step : script)
    run_after(step.delay_from_start, [this, act = std::move(step.action)] { act(*this); });
}

// ---- rules

FaultInjectingNetwork::Direction& FaultInjectingNetwork::direction(Node from, Node to) {
  auto& way = directions_[{from, to}];
  if (!way) {
    way = std::make_unique<Direction>();
    std::seed_seq seeds{seed_ >> 32, seed_ & 0xffffffff, std::uint64_t(from), std::uint64_t(to)};
    way->random_engine.seed(seeds);
  }
  return *way;
}

const LinkRule& FaultInjectingNetwork::rule_for(Node from, Node to) const {
  const auto found = directions_.find({from, to});
  return found != directions_.end() && found->second->rule ? *found->second->rule : default_rule_;
}

void FaultInjectingNetwork::set_rule(Node from, Node to, const LinkRule& rule) {
  direction(from, to).rule = rule;
  resume_all_connections();
}

void FaultInjectingNetwork::set_default_rule(const LinkRule& rule) {
  default_rule_ = rule;
  resume_all_connections();
}

void FaultInjectingNetwork::set_partitioned(Node one, Node other, bool is_cut) {
  for (const auto& [from, to] : {std::pair(one, other), std::pair(other, one)}) {
    LinkRule changed = rule_for(from, to);
    changed.is_partitioned = is_cut;
    set_rule(from, to, changed);
  }
}

void FaultInjectingNetwork::partition_groups(const std::vector<Node>& side, const std::vector<Node>& other,
                                             bool is_parted) {
  for (const Node one : side) {
    for (const Node two : other) set_partitioned(one, two, is_parted);
  }
}

const LinkStatistics& FaultInjectingNetwork::statistics(Node from, Node to) {
  return direction(from, to).count;
}

// ---- datagrams

SocketAddress FaultInjectingNetwork::proxy_address_of(Node node) {
  auto& door = ports_[node];
  if (!door) {
    door = std::make_unique<DatagramPort>();
    door->node = node;
    door->fd = checked(bind_udp(kAnyLoopbackPort), "a relay's UDP port");
    door->call = std::make_unique<FdCallback>(loop_, door->fd.get(),
                                              [this, at = door.get()] { receive_datagrams(*at); });
  }
  return {kAnyLoopbackPort.ip, local_port(door->fd)};
}

SocketAddress FaultInjectingNetwork::broadcast_address() {
  if (!broadcast_port_) {
    broadcast_port_ = std::make_unique<DatagramPort>();
    broadcast_port_->fd = checked(bind_udp(kAnyLoopbackPort), "a relay's UDP port");
    broadcast_port_->call = std::make_unique<FdCallback>(loop_, broadcast_port_->fd.get(),
                                                         [this] { receive_datagrams(*broadcast_port_); });
  }
  return {kAnyLoopbackPort.ip, local_port(broadcast_port_->fd)};
}

void FaultInjectingNetwork::set_real_address(Node node, const SocketAddress& real) {
  proxy_address_of(node);
  DatagramPort& door = *ports_[node];
  if (door.real) nodes_by_real_address_.erase(*door.real);
  door.real = real;
  nodes_by_real_address_[real] = node;
}

void FaultInjectingNetwork::receive_datagrams(const DatagramPort& door) {
  char bytes[64 * 1024];
  for (;;) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const ssize_t got =
        ::recvfrom(door.fd.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&address), &size);
    if (got < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      continue;
    }
    const auto from = nodes_by_real_address_.find(SocketAddress::from_sockaddr(address));
    if (from == nodes_by_real_address_.end()) {
      ++unknown_sender_datagrams_;
      continue;
    }
    const std::string_view text(bytes, static_cast<std::size_t>(got));
    if (door.node) {
      apply_rule(from->second, *door.node, text);
      continue;
    }
    for (const auto& [node, other] : ports_) {
      if (node != from->second) apply_rule(from->second, node, text);
    }
  }
}

void FaultInjectingNetwork::apply_rule(Node from, Node to, std::string_view bytes) {
  Direction& w = direction(from, to);
  const LinkRule& now = rule_for(from, to);
  ++w.count.datagrams_received;
  const double drop = w.next_uniform(), twice = w.next_uniform(), swap = w.next_uniform();
  Duration late[2];
  for (auto& one : late) {
    one = now.min_delay +
          Duration(static_cast<std::int64_t>(
              w.next_uniform() *
              static_cast<double>(std::max(now.max_delay - now.min_delay, Duration(0)).count())));
  }
  if (now.is_partitioned || drop < now.loss_probability) {
    ++w.count.datagrams_dropped;
    return;
  }
  if (swap < now.reorder_probability && !w.held_datagram) {
    ++w.count.datagrams_reordered;
    w.held_datagram = std::string(bytes);
    return run_after(kReorderHoldTime, [this, from, to] { release_held_datagram(from, to); });
  }
  forward_datagram(from, to, std::string(bytes), late[0]);
  if (twice < now.duplicate_probability) {
    ++w.count.datagrams_duplicated;
    forward_datagram(from, to, std::string(bytes), late[1]);
  }
  release_held_datagram(from, to);
}

void FaultInjectingNetwork::release_held_datagram(Node from, Node to) {
  Direction& w = direction(from, to);
  if (w.held_datagram)
    forward_datagram(from, to, *std::exchange(w.held_datagram, std::nullopt), rule_for(from, to).min_delay);
}

void FaultInjectingNetwork::forward_datagram(Node from, Node to, std::string bytes, Duration late) {
  if (late > Duration(0)) {
    return run_after(
        late, [this, from, to, bytes = std::move(bytes)] { forward_datagram(from, to, bytes, Duration(0)); });
  }
  const auto sender = ports_.find(from), receiver = ports_.find(to);
  if (sender == ports_.end() || receiver == ports_.end() || !receiver->second->real) return;
  const sockaddr_in address = receiver->second->real->to_sockaddr();
  ++direction(from, to).count.datagrams_forwarded;
  ::sendto(sender->second->fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

// ---- connections

SocketAddress FaultInjectingNetwork::open_tcp_proxy(Node from, Node to, const SocketAddress& target) {
  auto& gate = tcp_listeners_.emplace_back(std::make_unique<TcpListener>());
  gate->from = from;
  gate->to = to;
  gate->target = target;
  gate->listener = checked(listen_tcp(kAnyLoopbackPort), "a relay's TCP port");
  gate->call = std::make_unique<FdCallback>(loop_, gate->listener.get(),
                                            [this, at = gate.get()] { accept_connections(*at); });
  return {kAnyLoopbackPort.ip, local_port(gate->listener)};
}

void FaultInjectingNetwork::accept_connections(TcpListener& gate) {
  while (FileDescriptor fd = accept_connection(gate.listener)) {
    const std::uint64_t id = next_id_++;
    auto& wire = proxied_connections_[id] = std::make_unique<ProxiedConnection>();
    wire->id = id;
    wire->target = gate.target;
    wire->sides[0].node = gate.from;
    wire->sides[1].node = gate.to;
    wire->sides[0].fd = std::move(fd);
    wire->sides[0].call = std::make_unique<FdCallback>(loop_, wire->sides[0].fd.get(),
                                                       [this, at = wire.get()] { forward_bytes(*at); });
    ++direction(gate.from, gate.to).count.connections_opened;
    forward_bytes(*wire);
  }
}

void FaultInjectingNetwork::forward_bytes(ProxiedConnection& wire) {
  if (wire.is_closed) return;
  ProxiedConnection::Side& target = wire.sides[1];
  if (!target.fd) {
    // Nothing of a cut way reaches the target, not even that somebody wants to talk.
    if (rule_for(wire.sides[0].node, target.node).is_partitioned) return;
    target.fd = connect_tcp(wire.target);
    if (!target.fd) return close_connection(wire, true);
    target.call =
        std::make_unique<FdCallback>(loop_, target.fd.get(), [this, &wire] { forward_bytes(wire); });
  }
  for (int side = 0; side < 2 && !wire.is_closed; ++side) forward_bytes_from(wire, side);
  if (wire.sides[0].write_closed && wire.sides[1].write_closed) close_connection(wire, false);
}

void FaultInjectingNetwork::forward_bytes_from(ProxiedConnection& wire, int side) {
  ProxiedConnection::Side &source = wire.sides[side], &sink = wire.sides[1 - side];
  const LinkRule& now = rule_for(source.node, sink.node);
  if (now.is_partitioned) return;
  LinkStatistics& count = direction(source.node, sink.node).count;
  char bytes[16 * 1024];
  for (std::size_t share = 0; !source.read_closed && source.queued_bytes < kMaxBufferedBytes;) {
    if (share >= kMaxBytesReadPerIteration) {
      loop_.requeue(source.call->key, EPOLLIN);
      break;
    }
    const ssize_t got = ::recv(source.fd.get(), bytes, sizeof bytes, 0);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (got < 0) return close_connection(wire, true);
    const auto spread = static_cast<double>(std::max(now.max_delay - now.min_delay, Duration(0)).count());
    const Duration late =
        now.min_delay +
        Duration(static_cast<std::int64_t>(direction(source.node, sink.node).next_uniform() * spread));
    source.queue.push_back({loop_.now() + late, std::string(bytes, static_cast<std::size_t>(got))});
    source.queued_bytes += static_cast<std::size_t>(got);
    share += static_cast<std::size_t>(got);
    source.read_closed = got == 0;
  }
  while (!source.queue.empty()) {
    ProxiedConnection::Segment& piece = source.queue.front();
    if (piece.due_at > loop_.now()) {
      if (!std::exchange(source.has_timer, true)) {
        run_after(piece.due_at - loop_.now(), [this, id = wire.id, side] {
          const auto found = proxied_connections_.find(id);
          if (found == proxied_connections_.end()) return;
          found->second->sides[side].has_timer = false;
          forward_bytes(*found->second);
        });
      }
      return;
    }
    if (piece.bytes.empty()) {
      ::shutdown(sink.fd.get(), SHUT_WR);
      source.write_closed = true;
      source.queue.pop_front();
      return;
    }
    const ssize_t sent = ::send(sink.fd.get(), piece.bytes.data() + source.bytes_sent_of_first_segment,
                                piece.bytes.size() - source.bytes_sent_of_first_segment, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (sent < 0) return close_connection(wire, true);
    count.bytes_forwarded += static_cast<std::uint64_t>(sent);
    source.queued_bytes -= static_cast<std::size_t>(sent);
    source.bytes_sent_of_first_segment += static_cast<std::size_t>(sent);
    if (source.bytes_sent_of_first_segment < piece.bytes.size()) continue;
    source.bytes_sent_of_first_segment = 0;
    source.queue.pop_front();
    // There may be room to read again, of which no edge tells.
    if (!source.read_closed) loop_.requeue(source.call->key, EPOLLIN);
  }
}

void FaultInjectingNetwork::close_connection(ProxiedConnection& wire, bool by_reset) {
  if (std::exchange(wire.is_closed, true)) return;
  for (auto& side : wire.sides) {
    if (side.call) side.call->stop();
    const linger at_once{1, 0};
    if (side.fd && by_reset) ::setsockopt(side.fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    side.fd.reset();
  }
  // It may be in the middle of a call.
  loop_.defer([this, alive = alive_, id = wire.id] {
    if (*alive) proxied_connections_.erase(id);
  });
}

void FaultInjectingNetwork::reset_connections(Node from, Node to) {
  for (auto& [id, wire] : proxied_connections_) {
    if (wire->sides[0].node == from && wire->sides[1].node == to) close_connection(*wire, true);
  }
}

void FaultInjectingNetwork::resume_all_connections() {
  for (auto& [id, wire] : proxied_connections_) forward_bytes(*wire);
}

// ---- on a thread

struct FaultInjectingNetworkThread::WakeupEvent {
  FileDescriptor fd{checked(FileDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), "an eventfd")};
};

FaultInjectingNetworkThread::FaultInjectingNetworkThread(std::uint64_t seed)
    : wakeup_(std::make_unique<WakeupEvent>()) {
  std::promise<void> ready;
  auto is_ready = ready.get_future();
  thread_ = std::thread([this, seed, &ready] { run(seed, ready); });
  is_ready.get();
}

FaultInjectingNetworkThread::~FaultInjectingNetworkThread() {
  post(nullptr);
  thread_.join();
}

void FaultInjectingNetworkThread::post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  ::eventfd_write(wakeup_->fd.get(), 1);
}

void FaultInjectingNetworkThread::run(std::uint64_t seed, std::promise<void>& ready) {
  EventLoop loop;
  FaultInjectingNetwork relay(loop, seed);
  network_ = &relay;
  const FdCallback call(loop, wakeup_->fd.get(), [this, &loop] {
    eventfd_t rung = 0;
    ::eventfd_read(wakeup_->fd.get(), &rung);
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
    }
    for (auto& task : tasks) {
      if (task) {
        task();
      } else {
        loop.stop();
      }
    }
  });
  ready.set_value();
  loop.run();
}

}  // namespace rookproxy::test
