#include "standins/relay.h"

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

constexpr Endpoint kAnywhere{0x7f000001, 0};
constexpr std::size_t kMostHeld = 1 << 20;  // bytes a flow keeps before it stops reading
constexpr std::size_t kShare = 256 * 1024;  // bytes a flow reads a turn

Fd checked(Fd fd, const char* what) {
  if (!fd) throw std::system_error(errno, std::generic_category(), what);
  return fd;
}

// What is called when a descriptor is ready.
struct Call final : Watcher {
  Call(Loop& on, int number, std::function<void()> what)
      : loop(on), fd(number), act(std::move(what)), key(on.watch(number, *this)) {}
  ~Call() { stop(); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  void on_ready(std::uint32_t) override { act(); }
  // Before its descriptor is closed. It may be in the middle of the call, and so is destroyed only later.
  void stop() { loop.unwatch(std::exchange(key, 0), fd); }
  Loop& loop;
  int fd;
  std::function<void()> act;
  SlotKey key;
};

}  // namespace

struct Relay::Door {
  Fd fd;
  std::optional<Node> node;  // none: it stands for all
  std::optional<Endpoint> real;
  std::unique_ptr<Call> call;
};

struct Relay::Way {
  std::optional<RelayRule> rule;
  std::mt19937_64 dice;
  std::optional<std::string> held;  // to be swapped with the next
  RelayCount count;
  double throw_one() { return static_cast<double>(dice() >> 11) * 0x1p-53; }
};

struct Relay::Gate {
  Node from, to;
  Endpoint target;
  Fd listener;
  std::unique_ptr<Call> call;
};

struct Relay::Wire {
  struct Piece {
    Time due;
    std::string bytes;  // none: the end
  };
  // Side 0 is who connected, side 1 the target. What comes from a side waits in its queue, in its order.
  struct Side {
    Node node = 0;
    Fd fd;
    std::unique_ptr<Call> call;
    std::deque<Piece> queue;
    std::size_t queued = 0, sent = 0;  // bytes; those of the first piece that have left
    bool ended = false, passed_end = false, has_timer = false;
  };
  std::uint64_t id = 0;
  Endpoint target;
  Side sides[2];
  bool over = false;
};

Relay::Relay(Loop& loop, std::uint64_t seed) : loop_(loop), seed_(seed) {}

Relay::~Relay() {
  *alive_ = false;
  for (auto& [id, key] : timers_) loop_.cancel(key);
}

void Relay::later(Duration wait, std::function<void()> task) {
  const std::uint64_t id = next_++;
  timers_[id] = loop_.at(loop_.now() + wait, [this, id, task = std::move(task)] {
    const auto mine = task;  // the timer's own copy may go with its entry
    timers_.erase(id);
    mine();
  });
}

void Relay::play(std::vector<Step> script) {
  for (auto& step : script) later(step.after, [this, act = std::move(step.act)] { act(*this); });
}

// ---- rules

Relay::Way& Relay::way(Node from, Node to) {
  auto& way = ways_[{from, to}];
  if (!way) {
    way = std::make_unique<Way>();
    std::seed_seq seeds{seed_ >> 32, seed_ & 0xffffffff, std::uint64_t(from), std::uint64_t(to)};
    way->dice.seed(seeds);
  }
  return *way;
}

const RelayRule& Relay::rule(Node from, Node to) const {
  const auto found = ways_.find({from, to});
  return found != ways_.end() && found->second->rule ? *found->second->rule : usual_;
}

void Relay::set_rule(Node from, Node to, const RelayRule& rule) {
  way(from, to).rule = rule;
  look_again();
}

void Relay::set_usual(const RelayRule& rule) {
  usual_ = rule;
  look_again();
}

void Relay::cut(Node one, Node other, bool is_cut) {
  for (const auto& [from, to] : {std::pair(one, other), std::pair(other, one)}) {
    RelayRule changed = rule(from, to);
    changed.cut = is_cut;
    set_rule(from, to, changed);
  }
}

void Relay::part(const std::vector<Node>& side, const std::vector<Node>& other, bool is_parted) {
  for (const Node one : side) {
    for (const Node two : other) cut(one, two, is_parted);
  }
}

const RelayCount& Relay::count(Node from, Node to) { return way(from, to).count; }

// ---- datagrams

Endpoint Relay::stand_for(Node node) {
  auto& door = doors_[node];
  if (!door) {
    door = std::make_unique<Door>();
    door->node = node;
    door->fd = checked(bind_udp(kAnywhere), "a relay's UDP port");
    door->call = std::make_unique<Call>(loop_, door->fd.get(), [this, at = door.get()] { heard(*at); });
  }
  return {kAnywhere.ip, local_port(door->fd)};
}

Endpoint Relay::stand_for_all() {
  if (!all_) {
    all_ = std::make_unique<Door>();
    all_->fd = checked(bind_udp(kAnywhere), "a relay's UDP port");
    all_->call = std::make_unique<Call>(loop_, all_->fd.get(), [this] { heard(*all_); });
  }
  return {kAnywhere.ip, local_port(all_->fd)};
}

void Relay::is_at(Node node, const Endpoint& real) {
  stand_for(node);
  Door& door = *doors_[node];
  if (door.real) nodes_.erase(*door.real);
  door.real = real;
  nodes_[real] = node;
}

void Relay::heard(const Door& door) {
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
    const auto from = nodes_.find(Endpoint::of(address));
    if (from == nodes_.end()) {
      ++strays_;
      continue;
    }
    const std::string_view text(bytes, static_cast<std::size_t>(got));
    if (door.node) {
      carry(from->second, *door.node, text);
      continue;
    }
    for (const auto& [node, other] : doors_) {
      if (node != from->second) carry(from->second, node, text);
    }
  }
}

void Relay::carry(Node from, Node to, std::string_view bytes) {
  Way& w = way(from, to);
  const RelayRule& now = rule(from, to);
  ++w.count.came;
  const double drop = w.throw_one(), twice = w.throw_one(), swap = w.throw_one();
  Duration late[2];
  for (auto& one : late) {
    one = now.least +
          Duration(static_cast<std::int64_t>(
              w.throw_one() * static_cast<double>(std::max(now.most - now.least, Duration(0)).count())));
  }
  if (now.cut || drop < now.drop) {
    ++w.count.lost;
    return;
  }
  if (swap < now.swap && !w.held) {
    ++w.count.swapped;
    w.held = std::string(bytes);
    return later(kSwapWait, [this, from, to] { let_go(from, to); });
  }
  pass(from, to, std::string(bytes), late[0]);
  if (twice < now.twice) {
    ++w.count.doubled;
    pass(from, to, std::string(bytes), late[1]);
  }
  let_go(from, to);
}

void Relay::let_go(Node from, Node to) {
  Way& w = way(from, to);
  if (w.held) pass(from, to, *std::exchange(w.held, std::nullopt), rule(from, to).least);
}

void Relay::pass(Node from, Node to, std::string bytes, Duration late) {
  if (late > Duration(0)) {
    return later(late, [this, from, to, bytes = std::move(bytes)] { pass(from, to, bytes, Duration(0)); });
  }
  const auto sender = doors_.find(from), receiver = doors_.find(to);
  if (sender == doors_.end() || receiver == doors_.end() || !receiver->second->real) return;
  const sockaddr_in address = receiver->second->real->socket_address();
  ++way(from, to).count.passed;
  ::sendto(sender->second->fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

// ---- connections

Endpoint Relay::tcp(Node from, Node to, const Endpoint& target) {
  auto& gate = gates_.emplace_back(std::make_unique<Gate>());
  gate->from = from;
  gate->to = to;
  gate->target = target;
  gate->listener = checked(listen_tcp(kAnywhere), "a relay's TCP port");
  gate->call = std::make_unique<Call>(loop_, gate->listener.get(), [this, at = gate.get()] { accept(*at); });
  return {kAnywhere.ip, local_port(gate->listener)};
}

void Relay::accept(Gate& gate) {
  while (Fd fd = accept_from(gate.listener)) {
    const std::uint64_t id = next_++;
    auto& wire = wires_[id] = std::make_unique<Wire>();
    wire->id = id;
    wire->target = gate.target;
    wire->sides[0].node = gate.from;
    wire->sides[1].node = gate.to;
    wire->sides[0].fd = std::move(fd);
    wire->sides[0].call =
        std::make_unique<Call>(loop_, wire->sides[0].fd.get(), [this, at = wire.get()] { pump(*at); });
    ++way(gate.from, gate.to).count.connections;
    pump(*wire);
  }
}

void Relay::pump(Wire& wire) {
  if (wire.over) return;
  Wire::Side& target = wire.sides[1];
  if (!target.fd) {
    // Nothing of a cut way reaches the target, not even that somebody wants to talk.
    if (rule(wire.sides[0].node, target.node).cut) return;
    target.fd = connect_tcp(wire.target);
    if (!target.fd) return end(wire, true);
    target.call = std::make_unique<Call>(loop_, target.fd.get(), [this, &wire] { pump(wire); });
  }
  for (int side = 0; side < 2 && !wire.over; ++side) pump_from(wire, side);
  if (wire.sides[0].passed_end && wire.sides[1].passed_end) end(wire, false);
}

void Relay::pump_from(Wire& wire, int side) {
  Wire::Side &source = wire.sides[side], &sink = wire.sides[1 - side];
  const RelayRule& now = rule(source.node, sink.node);
  if (now.cut) return;
  RelayCount& count = way(source.node, sink.node).count;
  char bytes[16 * 1024];
  for (std::size_t share = 0; !source.ended && source.queued < kMostHeld;) {
    if (share >= kShare) {
      loop_.again(source.call->key, EPOLLIN);
      break;
    }
    const ssize_t got = ::recv(source.fd.get(), bytes, sizeof bytes, 0);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (got < 0) return end(wire, true);
    const auto spread = static_cast<double>(std::max(now.most - now.least, Duration(0)).count());
    const Duration late =
        now.least + Duration(static_cast<std::int64_t>(way(source.node, sink.node).throw_one() * spread));
    source.queue.push_back({loop_.now() + late, std::string(bytes, static_cast<std::size_t>(got))});
    source.queued += static_cast<std::size_t>(got);
    share += static_cast<std::size_t>(got);
    source.ended = got == 0;
  }
  while (!source.queue.empty()) {
    Wire::Piece& piece = source.queue.front();
    if (piece.due > loop_.now()) {
      if (!std::exchange(source.has_timer, true)) {
        later(piece.due - loop_.now(), [this, id = wire.id, side] {
          const auto found = wires_.find(id);
          if (found == wires_.end()) return;
          found->second->sides[side].has_timer = false;
          pump(*found->second);
        });
      }
      return;
    }
    if (piece.bytes.empty()) {
      ::shutdown(sink.fd.get(), SHUT_WR);
      source.passed_end = true;
      source.queue.pop_front();
      return;
    }
    const ssize_t sent = ::send(sink.fd.get(), piece.bytes.data() + source.sent,
                                piece.bytes.size() - source.sent, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (sent < 0) return end(wire, true);
    count.bytes += static_cast<std::uint64_t>(sent);
    source.queued -= static_cast<std::size_t>(sent);
    source.sent += static_cast<std::size_t>(sent);
    if (source.sent < piece.bytes.size()) continue;
    source.sent = 0;
    source.queue.pop_front();
    // There may be room to read again, of which no edge tells.
    if (!source.ended) loop_.again(source.call->key, EPOLLIN);
  }
}

void Relay::end(Wire& wire, bool by_reset) {
  if (std::exchange(wire.over, true)) return;
  for (auto& side : wire.sides) {
    if (side.call) side.call->stop();
    const linger at_once{1, 0};
    if (side.fd && by_reset) ::setsockopt(side.fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    side.fd.reset();
  }
  // It may be in the middle of a call.
  loop_.defer([this, alive = alive_, id = wire.id] {
    if (*alive) wires_.erase(id);
  });
}

void Relay::reset(Node from, Node to) {
  for (auto& [id, wire] : wires_) {
    if (wire->sides[0].node == from && wire->sides[1].node == to) end(*wire, true);
  }
}

void Relay::look_again() {
  for (auto& [id, wire] : wires_) pump(*wire);
}

// ---- on a thread

struct RelayThread::Bell {
  Fd fd{checked(Fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), "an eventfd")};
};

RelayThread::RelayThread(std::uint64_t seed) : bell_(std::make_unique<Bell>()) {
  std::promise<void> ready;
  auto is_ready = ready.get_future();
  thread_ = std::thread([this, seed, &ready] { run(seed, ready); });
  is_ready.get();
}

RelayThread::~RelayThread() {
  hand_over(nullptr);
  thread_.join();
}

void RelayThread::hand_over(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  ::eventfd_write(bell_->fd.get(), 1);
}

void RelayThread::run(std::uint64_t seed, std::promise<void>& ready) {
  Loop loop;
  Relay relay(loop, seed);
  relay_ = &relay;
  const Call call(loop, bell_->fd.get(), [this, &loop] {
    eventfd_t rung = 0;
    ::eventfd_read(bell_->fd.get(), &rung);
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
